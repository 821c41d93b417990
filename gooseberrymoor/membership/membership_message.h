#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/name_table.h"
#include "gooseberrymoor/membership/cell_view.h"
#include "gooseberrymoor/membership/member_id.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrymoor {

// What the members of a cell say to each other.
enum class membership_message_kind {
    lease_request,
    lease_reply,
    promise_request, // not to renew the lease of `subject` in this epoch
    promise_reply,
    release_request, // of `targets`, which the sender owns now
    release_reply, // `targets` of which nothing of the sender runs
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

// One message between two nodes of a cell. Value type.
struct membership_message
{
    membership_message_kind kind = membership_message_kind::lease_request;
    member_id sender;
    std::int64_t epoch = 0; // newest that the sender knows
    std::uint64_t replaced = 0; // ended incarnation of the sender's name in its view; 0 is none
    std::uint64_t recipient = 0; // in replies: the incarnation that asked
    time_point sentAt {}; // of a lease request, on the clock of the one that asks; echoed
    bool granted = false; // the lease or the promise
    member_id subject;
    std::vector<std::string> targets; // "service/name"
    cell_view view; // of a view_update
};

} // namespace gooseberrymoor
