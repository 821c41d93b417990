#include "small_node.h"

#include "gooseberrymoor/base/task.h"

#include <stdexcept>

namespace gooseberrymoor {

namespace {

constexpr std::size_t most_body_bytes = 64 * 1024;
constexpr duration min_call_timeout { 200 };
constexpr duration max_call_timeout { 800 };

asio::awaitable<void> stopTier(query_tier &tier, bool &stopped)
{
    co_await tier.stop();
    stopped = true;
}

void require(const tl::expected<void, std::string> &started)
{
    if (!started)
        throw std::runtime_error(started.error());
}

} // namespace

small_node::small_node(const platform::platform_settings &settings)
    : m_settings(settings), m_context(std::make_unique<asio::io_context>(1)),
      m_parts(std::make_unique<parts>())
{
    const asio::any_io_executor executor = m_context->get_executor();
    m_parts->store = std::make_unique<platform::platform_store>(
        settings.storeAddress, call_patience(min_call_timeout, max_call_timeout), m_events);
    m_parts->tier = std::make_unique<query_tier>(executor, settings.tier, *m_parts->store,
                                                 m_catalog, m_leafs, m_log, m_events);
    m_parts->callerWire = std::make_unique<platform::caller_wire>(*m_parts->tier);
    m_parts->directoryWire = std::make_unique<platform::directory_wire>(*m_parts->tier);
    m_parts->callers
        = std::make_unique<http_server>(executor, *m_parts->callerWire, m_events, most_body_bytes);
    m_parts->directory = std::make_unique<http_server>(executor, *m_parts->directoryWire, m_events,
                                                       most_body_bytes);
    require(m_parts->tier->start(*m_parts->callers));
    require(m_parts->callers->start(settings.callerAddress));
    require(m_parts->directory->start(settings.directoryAddress));
}

void small_node::stop()
{
    startTask(m_context->get_executor(), m_events, "stop", stopTier(*m_parts->tier, m_stopped));
}

} // namespace gooseberrymoor
