#include "gooseberrymoor/query/leaf_inbox.h"

namespace gooseberrymoor {

leaf_inbox::leaf_inbox(asio::any_io_executor executor) : m_wake(std::move(executor)) { }

void leaf_inbox::push(int attempt, leaf_response response)
{
    m_entries.emplace_back(attempt, std::move(response));
    m_wake.notify();
}

std::optional<leaf_inbox::entry> leaf_inbox::pop()
{
    if (m_entries.empty())
        return std::nullopt;
    entry oldest = std::move(m_entries.front());
    m_entries.pop_front();
    return oldest;
}

asio::awaitable<void> leaf_inbox::wait(time_point until)
{
    if (m_entries.empty())
        co_await m_wake.wait(until);
}

} // namespace gooseberrymoor
