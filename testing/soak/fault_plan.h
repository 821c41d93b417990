#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/name_table.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrymoor {

// The faults that the soak test injects into a site.
enum class fault_kind {
    node_killed, // SIGKILL; restarted when the fault ends
    node_stopped, // SIGTERM; killed and restarted after its grace period
    node_paused, // SIGSTOP; SIGCONT when the fault ends
    store_silent, // accepts calls and never answers
    store_busy, // refuses every call as overloaded
    store_replies_lost, // calls take effect; a relay drops the replies
    store_connections_silent, // the open connections stall permanently
    store_writes_lost, // the next writes take effect, but their replies are lost
    store_history_lost, // the history is compacted: watches fail with status 410
    target_silent, // a relay drops the bytes of both directions
    target_replies_lost, // requests run; a relay drops the replies
    target_connections_silent, // the open connections stall permanently
    target_full, // refuses requests without running them
    target_failing, // runs requests and answers with status 500
    target_draining, // its entry in the store says so
    configuration_changed, // no fault: a new version with another route
    node_paused_long, // as node_paused, for several seconds
    target_leaving, // its answers say so, but not its entry; then it starts anew
    target_backing_off, // refuses requests and asks for a pause
    target_replies_repeated, // a relay sends each reply a second time
    target_replies_cut, // a relay breaks replies off halfway
    store_restored, // comes back from an older copy; operators and targets write theirs again
    target_replies_chunked, // a relay sends them in chunks and pieces, and breaks some off
    target_refusals_chunked, // refuses requests, without a body; its relay does the same
    store_replies_chunked, // as target_replies_chunked
};

constexpr name_table<fault_kind, 25> names(fault_kind)
{
    return { { { fault_kind::node_killed, "node_killed" },
               { fault_kind::node_stopped, "node_stopped" },
               { fault_kind::node_paused, "node_paused" },
               { fault_kind::store_silent, "store_silent" },
               { fault_kind::store_busy, "store_busy" },
               { fault_kind::store_replies_lost, "store_replies_lost" },
               { fault_kind::store_connections_silent, "store_connections_silent" },
               { fault_kind::store_writes_lost, "store_writes_lost" },
               { fault_kind::store_history_lost, "store_history_lost" },
               { fault_kind::target_silent, "target_silent" },
               { fault_kind::target_replies_lost, "target_replies_lost" },
               { fault_kind::target_connections_silent, "target_connections_silent" },
               { fault_kind::target_full, "target_full" },
               { fault_kind::target_failing, "target_failing" },
               { fault_kind::target_draining, "target_draining" },
               { fault_kind::configuration_changed, "configuration_changed" },
               { fault_kind::node_paused_long, "node_paused_long" },
               { fault_kind::target_leaving, "target_leaving" },
               { fault_kind::target_backing_off, "target_backing_off" },
               { fault_kind::target_replies_repeated, "target_replies_repeated" },
               { fault_kind::target_replies_cut, "target_replies_cut" },
               { fault_kind::store_restored, "store_restored" },
               { fault_kind::target_replies_chunked, "target_replies_chunked" },
               { fault_kind::target_refusals_chunked, "target_refusals_chunked" },
               { fault_kind::store_replies_chunked, "store_replies_chunked" } } };
}

// One fault with its time. Value type.
struct planned_fault
{
    duration at { 0 }; // since the start of the plan
    fault_kind kind = fault_kind::node_killed;
    std::size_t subject = 0; // selects the node or target, modulo their number
    duration length { 0 }; // ignored by node_stopped and by kinds without a recovery
};

// Draws a plan of the first `kinds` kinds of possibly overlapping faults over `length`. If faults
// that set the same mode of the store or of a target overlap, the end of the first one ends the
// others. Equal arguments give the same plan.
std::vector<planned_fault> makeFaultPlan(std::uint32_t seed, duration length, std::size_t nodes,
                                         std::size_t targets,
                                         std::size_t kinds = names(fault_kind {}).size());

// Formats the plan as one line, for test output.
std::string describe(const std::vector<planned_fault> &plan);

} // namespace gooseberrymoor
