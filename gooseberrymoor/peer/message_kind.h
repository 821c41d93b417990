#pragma once

#include "gooseberrymoor/base/name_table.h"

#include <cstdint>

namespace gooseberrymoor {

// Kinds of messages between nodes. The numbers are part of the wire protocol and must not change.
enum class message_kind : std::uint16_t {
    hello = 1,
    leaf_request = 10,
    leaf_response = 11,
    leaf_cancel = 12,
    heartbeat = 20,
    heartbeat_reply = 21,
    lease_request = 22,
    lease_reply = 23,
    release_request = 24,
    release_reply = 25,
    promise_request = 26,
    promise_reply = 27,
    view_update = 28,
    configuration_update = 30,
    version_evidence = 40,
    fleet_heartbeat = 50,
    mirror_update = 51,
};

constexpr name_table<message_kind, 17> names(message_kind)
{
    return { { { message_kind::hello, "hello" },
               { message_kind::leaf_request, "leaf_request" },
               { message_kind::leaf_response, "leaf_response" },
               { message_kind::leaf_cancel, "leaf_cancel" },
               { message_kind::heartbeat, "heartbeat" },
               { message_kind::heartbeat_reply, "heartbeat_reply" },
               { message_kind::lease_request, "lease_request" },
               { message_kind::lease_reply, "lease_reply" },
               { message_kind::release_request, "release_request" },
               { message_kind::release_reply, "release_reply" },
               { message_kind::promise_request, "promise_request" },
               { message_kind::promise_reply, "promise_reply" },
               { message_kind::view_update, "view_update" },
               { message_kind::configuration_update, "configuration_update" },
               { message_kind::version_evidence, "version_evidence" },
               { message_kind::fleet_heartbeat, "fleet_heartbeat" },
               { message_kind::mirror_update, "mirror_update" } } };
}

} // namespace gooseberrymoor
