#pragma once

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/http/http_server.h"
#include "gooseberrymoor/tier/fleet_node.h"
#include "platform/caller_request_handler.h"
#include "platform/directory_handler.h"
#include "platform/http_leaf_protocol.h"
#include "platform/json_catalog_decoder.h"
#include "platform/platform_settings.h"
#include "platform/platform_store.h"
#include "testing/platform_stand_in/small_site.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace gooseberrymoor {

// One node of a `small_site`, on its own executor. Its destructor stops it abruptly, as a crash
// would.
class small_node
{
public:
    explicit small_node(const platform::platform_settings &settings);

    void stop();
    bool hasStopped() const { return m_stopped; }
    void poll() { m_context->poll(); }

    fleet_node &tier() { return *m_components->tier; }
    const platform::platform_settings &settings() const { return m_settings; }
    counters &events() { return m_events; }
    event_name_log &log() { return m_log; }

private:
    struct components;

    platform::platform_settings m_settings;
    counters m_events;
    event_name_log m_log;
    platform::json_catalog_decoder m_catalog;
    platform::http_leaf_protocol m_leafs;
    std::unique_ptr<asio::io_context> m_context;
    bool m_stopped = false;

    struct components
    {
        std::unique_ptr<platform::platform_store> store;
        std::unique_ptr<fleet_node> tier;
        std::unique_ptr<platform::caller_request_handler> callerWire;
        std::unique_ptr<platform::directory_handler> directoryWire;
        std::unique_ptr<http_server> callers;
        std::unique_ptr<http_server> directory;
    };
    std::unique_ptr<components> m_components;
};

} // namespace gooseberrymoor
