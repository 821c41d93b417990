#pragma once

#include "gooseberrymoor/replica/replica.h"
#include "gooseberrymoor/replica/replica_backpressure.h"
#include "gooseberrymoor/replica/replica_health.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

// A registered target with its locally observed health. Reference-counted, so that requests in
// flight can use it after its removal from the set.
struct known_replica
{
    replica entry;
    time_point coldUntil {};
    replica_health health;
    replica_backpressure backpressure;
    bool removed = false; // no longer in the set
};

// The registered targets, indexed by id and by service. Pure state without I/O. Not thread-safe.
class replica_set
{
public:
    // Inserts or updates a target. An entry with a changed address, service or incarnation is a
    // new instance and replaces the target, including its health. What a target asked for in its
    // replies holds until it starts anew, even if it was removed in between. An entry without an
    // incarnation is taken for the one that is known.
    void put(const replica &entry, time_point now);

    // Removes the target `id`, if it is present.
    void remove(const std::string &id);

    // Records what `target` asked for in a reply. See `replica_backpressure::onReply`.
    backpressure_change onReply(known_replica &target, const reply_signals &signals, double jitter,
                                time_point now);

    // Sets the availability zones that operators have taken out of service. Their targets receive
    // no requests.
    void setZonesOut(std::set<std::string> zones);

    const std::set<std::string> &zonesOut() const { return m_zonesOut; }

    // Targets of `service`, ordered by id.
    const std::vector<std::shared_ptr<known_replica>> &of(const std::string &service) const;

    // Whether `target` may receive new requests: it is in the set, neither its entry nor a reply
    // says that it is leaving, and its zone is in service.
    bool isEligible(const known_replica &target) const;

    // Whether a request may be planned for `target` at `now`: it is eligible and has not asked for
    // a pause.
    bool mayReceive(const known_replica &target, time_point now) const;

    // The target with the given `id`, or null.
    std::shared_ptr<known_replica> find(const std::string &id) const;

    // Version number of the set; changes whenever a target is added, removed or may have changed
    // its eligibility.
    std::uint64_t generation() const { return m_generation; }

    // All targets, by id.
    const std::map<std::string, std::shared_ptr<known_replica>> &all() const { return m_byId; }

private:
    // What a removed target had asked for.
    struct removed_replica
    {
        std::int64_t incarnation = 0;
        replica_backpressure backpressure;
    };

    std::int64_t lastIncarnation(const std::string &id) const;
    void remember(const known_replica &target);

    std::map<std::string, std::shared_ptr<known_replica>> m_byId;
    std::map<std::string, std::vector<std::shared_ptr<known_replica>>> m_byService;
    std::map<std::string, removed_replica> m_removed; // by id
    std::set<std::string> m_zonesOut;
    std::uint64_t m_generation = 1;
};

} // namespace gooseberrymoor
