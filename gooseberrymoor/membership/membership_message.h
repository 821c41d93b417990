#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/name_table.h"
#include "gooseberrymoor/membership/cell_view.h"
#include "gooseberrymoor/membership/member_id.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrymoor {

// The kinds of messages between the members of a cell.
enum class membership_message_kind {
    lease_request,
    lease_reply,
    promise_request, // asks not to renew the lease of `subject` any more in this epoch
    promise_reply,
    release_request, // asks to release `targets`, which the sender owns now
    release_reply, // `targets` at which no request of the sender can still run
    view_update,
};

constexpr name_table<membership_message_kind, 7> names(membership_message_kind)
{
    return { { { membership_message_kind::lease_request, "lease_request" },
               { membership_message_kind::lease_reply, "lease_reply" },
               { membership_message_kind::promise_request, "promise_request" },
               { membership_message_kind::promise_reply, "promise_reply" },
               { membership_message_kind::release_request, "release_request" },
               { membership_message_kind::release_reply, "release_reply" },
               { membership_message_kind::view_update, "view_update" } } };
}

// A message between two members of a cell. Value type.
struct membership_message
{
    membership_message_kind kind = membership_message_kind::lease_request;
    member_id sender;
    std::int64_t epoch = 0; // newest epoch known to the sender
    // The earlier incarnation of the sender that its view still lists and that has terminated; 0 if
    // there is none.
    std::uint64_t replaced = 0;
    std::uint64_t recipient = 0; // in replies: the incarnation that sent the request
    // When the lease request was sent, by the requester's clock; copied to the reply.
    time_point sentAt {};
    bool granted = false; // in lease and promise replies
    member_id subject; // in promise requests and replies
    std::vector<std::string> targets; // each "service/name"
    cell_view view; // in view updates
};

} // namespace gooseberrymoor
