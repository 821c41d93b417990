#pragma once

#include "gooseberrymoor/base/name_table.h"

#include <cstdint>

namespace gooseberrymoor {

// Kinds of messages between nodes. The numbers are part of the wire protocol and must not change.
enum class message_kind : std::uint16_t {
    hello = 1, // first message on each connection, from the node that opened it
    leaf_request = 10, // from the node that runs a query to the owner of a target
    leaf_response = 11, // from the owner of a target
    leaf_cancel = 12, // from the node that runs a query
    heartbeat = 20, // sent in tests only
    heartbeat_reply = 21, // not sent
    lease_request = 22, // from each member of a cell to the others
    lease_reply = 23, // from the recipient of a lease request
    release_request = 24, // from the new owner of targets to the other members
    release_reply = 25, // from the recipient of a release request
    promise_request = 26, // from a node that wants to remove a member
    promise_reply = 27, // from the recipient of a promise request
    view_update = 28, // from a member with a newer view
    configuration_update = 30, // between nodes of a cell
    version_evidence = 40, // from each node of a cell to the node that drives a service's moves
    fleet_heartbeat = 50, // from each node of a fleet
    mirror_update = 51, // from the node of a fleet that reads the store, and from relays
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
