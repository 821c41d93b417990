#include "store_path_stand_in.h"

namespace gooseberrymoor {

store_path_stand_in::store_path_stand_in(asio::any_io_executor executor, http_handler &store)
    : m_store(store), m_restored(std::move(executor))
{
}

asio::awaitable<http_reply> store_path_stand_in::handle(http_request request)
{
    while (m_isCut)
        co_await m_restored.wait();
    http_reply reply = co_await m_store.handle(std::move(request));
    while (m_isCut)
        co_await m_restored.wait();
    co_return reply;
}

void store_path_stand_in::setCut(bool cut)
{
    m_isCut = cut;
    m_restored.notify();
}

} // namespace gooseberrymoor
