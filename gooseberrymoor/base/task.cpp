#include "gooseberrymoor/base/task.h"

#include "gooseberrymoor/base/counters.h"

#include <exception>
#include <iostream>

namespace gooseberrymoor {

void startTask(const asio::any_io_executor &executor, counters &events, std::string name,
               asio::awaitable<void> body)
{
    auto finished = [&events, name = std::move(name)](std::exception_ptr failure) {
        if (!failure)
            return;
        events.add("task_exceptions");
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception &error) {
            std::cerr << "event=task_failed task=" << name << " reason=\"" << error.what()
                      << "\"\n";
        }
    };
    asio::co_spawn(executor, std::move(body), std::move(finished));
}

} // namespace gooseberrymoor
