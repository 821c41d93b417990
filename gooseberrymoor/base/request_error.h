#pragma once

#include "gooseberrymoor/base/name_table.h"
#include "gooseberrymoor/base/verdict.h"

#include <string>

namespace gooseberrymoor {

// Why a request, or one leaf request of a query, failed.
enum class error_kind {
    none,
    bad_request,
    too_large,
    header_too_large,
    request_too_slow,
    unknown_service,
    unknown_shard,
    deadline_passed, // before the request was sent
    overloaded, // refused by a node
    draining, // the node or the target is stopping or was taken out of service
    no_target, // no eligible target is left for the shard
    no_owner, // the target's owner may not send to it now, for example during a handover
    not_owner, // the node that received the request does not own the target
    link_lost, // no connection to the target's owner, or it was lost
    target_lost, // no connection to the target, or it was lost
    target_shed, // the target refused the request
    target_failed, // the target answered with an error
    timed_out, // no answer in time
    cancelled,
    snapshot_unavailable, // at the target
    malformed_answer,
    not_ready, // the node has no current configuration yet, or is isolated
    not_implemented, // the request uses a part of HTTP that the server doesn't have
    method_not_allowed,
};

constexpr name_table<error_kind, 24> names(error_kind)
{
    return { { { error_kind::none, "none" },
               { error_kind::bad_request, "bad_request" },
               { error_kind::too_large, "too_large" },
               { error_kind::header_too_large, "header_too_large" },
               { error_kind::request_too_slow, "request_too_slow" },
               { error_kind::unknown_service, "unknown_service" },
               { error_kind::unknown_shard, "unknown_shard" },
               { error_kind::deadline_passed, "deadline_passed" },
               { error_kind::overloaded, "overloaded" },
               { error_kind::draining, "draining" },
               { error_kind::no_target, "no_target" },
               { error_kind::no_owner, "no_owner" },
               { error_kind::not_owner, "not_owner" },
               { error_kind::link_lost, "link_lost" },
               { error_kind::target_lost, "target_lost" },
               { error_kind::target_shed, "target_shed" },
               { error_kind::target_failed, "target_failed" },
               { error_kind::timed_out, "timed_out" },
               { error_kind::cancelled, "cancelled" },
               { error_kind::snapshot_unavailable, "snapshot_unavailable" },
               { error_kind::malformed_answer, "malformed_answer" },
               { error_kind::not_ready, "not_ready" },
               { error_kind::not_implemented, "not_implemented" },
               { error_kind::method_not_allowed, "method_not_allowed" } } };
}

// Describes a request that was refused or failed. Value type.
struct request_error
{
    error_kind kind = error_kind::none;
    verdict outcome = verdict::not_run;
    std::string detail;
};

} // namespace gooseberrymoor
