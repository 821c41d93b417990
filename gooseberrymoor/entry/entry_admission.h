#pragma once

#include "gooseberrymoor/base/request_error.h"

#include <cstddef>
#include <optional>

namespace gooseberrymoor {

// Whether this node takes callers' requests.
enum class entry_phase {
    starting, // no configuration yet
    ready,
    isolated, // hears neither the store nor a peer: takes nothing new
    leaving, // withdrawn from the directory, still serves
    closed, // refuses all that is new
};

constexpr name_table<entry_phase, 5> names(entry_phase)
{
    return { { { entry_phase::starting, "starting" },
               { entry_phase::ready, "ready" },
               { entry_phase::isolated, "isolated" },
               { entry_phase::leaving, "leaving" },
               { entry_phase::closed, "closed" } } };
}

// Decides which callers' requests this node takes. Not thread-safe.
class entry_admission
{
public:
    explicit entry_admission(std::size_t maxQueries) : m_maxQueries(maxQueries) { }

    entry_phase phase() const { return m_phase; }
    void setPhase(entry_phase phase) { m_phase = phase; }

    // Why a new request is refused while `running` run, all as not run; nothing if it is taken.
    std::optional<request_error> refusal(std::size_t running) const
    {
        if (m_phase == entry_phase::starting)
            return request_error { error_kind::not_ready, verdict::not_run,
                                   "no configuration yet" };
        if (m_phase == entry_phase::isolated)
            return request_error { error_kind::not_ready, verdict::not_run,
                                   "hears neither the store nor its peers" };
        if (m_phase == entry_phase::closed)
            return request_error { error_kind::draining, verdict::not_run, "the node is leaving" };
        if (running >= m_maxQueries)
            return request_error { error_kind::overloaded, verdict::not_run, "too many queries" };
        return std::nullopt;
    }

private:
    std::size_t m_maxQueries;
    entry_phase m_phase = entry_phase::starting;
};

} // namespace gooseberrymoor
