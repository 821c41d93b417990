#include "small_node.h"

#include "gooseberrymoor/base/task.h"

#include <stdexcept>

namespace gooseberrymoor {

namespace {

constexpr std::size_t max_body_bytes = 64 * 1024;
constexpr duration min_call_timeout { 200 };
constexpr duration max_call_timeout { 800 };

asio::awaitable<void> stopTier(fleet_node &tier, bool &stopped)
{
    co_await tier.stop();
    stopped = true;
}

void throwOnError(const tl::expected<void, std::string> &started)
{
    if (!started)
        throw std::runtime_error(started.error());
}

} // namespace

small_node::small_node(const platform::platform_settings &settings)
    : m_settings(settings), m_context(std::make_unique<asio::io_context>(1)),
      m_components(std::make_unique<components>())
{
    const asio::any_io_executor executor = m_context->get_executor();
    m_components->store = std::make_unique<platform::platform_store>(
        settings.storeAddress, adaptive_call_timeout(min_call_timeout, max_call_timeout), m_events);
    m_components->tier = std::make_unique<fleet_node>(executor, settings.tier, *m_components->store,
                                                      m_catalog, m_leafs, m_log, m_events);
    m_components->callerWire
        = std::make_unique<platform::caller_request_handler>(*m_components->tier);
    m_components->directoryWire
        = std::make_unique<platform::directory_handler>(*m_components->tier);
    m_components->callers = std::make_unique<http_server>(executor, *m_components->callerWire,
                                                          m_events, max_body_bytes);
    m_components->directory = std::make_unique<http_server>(executor, *m_components->directoryWire,
                                                            m_events, max_body_bytes);
    throwOnError(m_components->tier->start(*m_components->callers));
    throwOnError(m_components->callers->start(settings.callerAddress));
    throwOnError(m_components->directory->start(settings.directoryAddress));
}

void small_node::stop()
{
    startTask(m_context->get_executor(), m_events, "stop",
              stopTier(*m_components->tier, m_stopped));
}

} // namespace gooseberrymoor
