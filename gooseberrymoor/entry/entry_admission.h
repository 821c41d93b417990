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

// Whether this node accepts requests from callers. A node starts in `starting`, becomes `ready`,
// and goes through `leaving` to `closed` when it stops. From `isolated` it returns to `starting`.
enum class entry_phase {
    starting, // no current configuration or not an active member; rejects all new requests
    ready, // accepts requests
    isolated, // receives nothing from the store or any peer; rejects all new requests
    leaving, // about to stop: leaves the directory, but still accepts requests
    closed, // rejects all new requests and finishes the running ones
};

constexpr name_table<entry_phase, 5> names(entry_phase)
{
    return { { { entry_phase::starting, "starting" },
               { entry_phase::ready, "ready" },
               { entry_phase::isolated, "isolated" },
               { entry_phase::leaving, "leaving" },
               { entry_phase::closed, "closed" } } };
}

// Decides which callers' requests this node accepts. Requests are rejected before any work is done
// for them, so that every rejection can truthfully report `not_run`. Not thread-safe.
class entry_admission
{
public:
    explicit entry_admission(std::size_t maxQueries) : m_maxQueries(maxQueries) { }

    entry_phase phase() const { return m_phase; }
    void setPhase(entry_phase phase) { m_phase = phase; }

    // The error for any new request while `running` queries run, due to the phase of the node or
    // its limit of concurrent queries; empty if the node accepts requests.
    std::optional<request_error> checkNodeAvailability(std::size_t running) const;

    // The error if the recent load of its service does not allow `request`, which needs `shards`
    // shards; empty if it is admitted, which counts it towards the load. The service must exist:
    // otherwise callers could grow the state without bound by inventing names.
    std::optional<request_error> checkServiceLoad(const query_request &request, std::size_t shards,
                                                  time_point now);

    // Records that an admitted request of `service` was answered with `answer` after `latency`.
    void onAnswered(const std::string &service, const query_answer &answer, duration latency,
                    time_point now);

    // The rate limiters by service.
    const std::map<std::string, adaptive_rate_limiter> &rateLimiters() const { return m_rates; }

private:
    std::size_t m_maxQueries;
    entry_phase m_phase = entry_phase::starting;
    std::map<std::string, adaptive_rate_limiter> m_rates;
};

} // namespace gooseberrymoor
