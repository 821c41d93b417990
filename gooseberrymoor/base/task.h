#pragma once

#include "gooseberrymoor/base/net.h"

#include <string>

namespace gooseberrymoor {

class counters;

// Runs `body` as a new task on `executor`. An exception that escapes from the task is counted as
// "task_exceptions" in `events` and logged under `name`; it does not terminate the process.
// `events` must outlive the task.
void startTask(const asio::any_io_executor &executor, counters &events, std::string name,
               asio::awaitable<void> body);

} // namespace gooseberrymoor
