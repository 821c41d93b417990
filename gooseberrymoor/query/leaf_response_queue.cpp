#include "gooseberrymoor/query/leaf_response_queue.h"

namespace gooseberrymoor {

leaf_response_queue::leaf_response_queue(asio::any_io_executor executor)
    : m_wake(std::move(executor))
{
}

void leaf_response_queue::push(int attempt, leaf_response response)
{
    m_entries.emplace_back(attempt, std::move(response));
    m_wake.notify();
}

std::optional<leaf_response_queue::entry> leaf_response_queue::pop()
{
    if (m_entries.empty())
        return std::nullopt;
    entry oldest = std::move(m_entries.front());
    m_entries.pop_front();
    return oldest;
}

asio::awaitable<void> leaf_response_queue::wait(time_point until)
{
    if (m_entries.empty())
        co_await m_wake.wait(until);
}

} // namespace gooseberrymoor
