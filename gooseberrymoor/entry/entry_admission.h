#pragma once

#include "gooseberrymoor/base/request_error.h"
#include "gooseberrymoor/entry/adaptive_rate_limiter.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace gooseberrymoor {

struct query_answer;
struct query_request;

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

// Decides which callers' requests this node takes. All refusals are made before any work, so they
// are true as not run. Not thread-safe.
class entry_admission
{
public:
    explicit entry_admission(std::size_t maxQueries) : m_maxQueries(maxQueries) { }

    entry_phase phase() const { return m_phase; }
    void setPhase(entry_phase phase) { m_phase = phase; }

    // Why any new request is refused while `running` run; nothing if none of these reasons holds.
    std::optional<request_error> refusal(std::size_t running) const;

    // Why `request`, for `shards` in number, is refused for the recent load of its service; nothing
    // if it is taken, which is then counted. The service must be known, or state would grow with
    // what callers make up.
    std::optional<request_error> checkServiceLoad(const query_request &request, std::size_t shards,
                                                  time_point now);

    // A request of `service` that was taken was answered with `answer` after `took`.
    void onAnswered(const std::string &service, const query_answer &answer, duration took,
                    time_point now);

    // The limits found, by service.
    const std::map<std::string, adaptive_rate_limiter> &rateLimiters() const { return m_rates; }

private:
    std::size_t m_maxQueries;
    entry_phase m_phase = entry_phase::starting;
    std::map<std::string, adaptive_rate_limiter> m_rates;
};

} // namespace gooseberrymoor
