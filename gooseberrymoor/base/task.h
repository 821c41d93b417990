#pragma once

#include "gooseberrymoor/base/net.h"

#include <string>

namespace gooseberrymoor {

class counters;

// Starts `body` as a task of its own on `executor`. An exception that leaves the task is counted
// as "task_exceptions" in `events` and printed; it never ends the process.
// `name` says which duty the task has. `events` must outlive the task.
void startTask(const asio::any_io_executor &executor, counters &events, std::string name,
               asio::awaitable<void> body);

} // namespace gooseberrymoor
