#pragma once

#include "gooseberrymoor/replica/replica.h"
#include "gooseberrymoor/replica/replica_health.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

// One known target with what this node has seen of it. Shared by those that send to it, so that it
// outlives its removal from the set.
struct known_replica
{
    replica entry;
    time_point coldUntil {};
    replica_health health;
    bool removed = false; // it left the set
};

// The targets that registered themselves, by service. Pure state. Not thread-safe.
class replica_set
{
public:
    // Takes in the newest entry of a target. A changed address, service or incarnation makes it
    // another target, of which nothing is known yet.
    void put(const replica &entry, time_point now);

    // The target has gone.
    void remove(const std::string &id);

    // Availability zones that operators have taken out: their targets get nothing.
    void setZonesOut(std::set<std::string> zones);

    const std::set<std::string> &zonesOut() const { return m_zonesOut; }

    // Targets of `service`, in the order of their ids.
    const std::vector<std::shared_ptr<known_replica>> &of(const std::string &service) const;

    // Whether `target` may get new requests: present, not draining, and its zone not out.
    bool isEligible(const known_replica &target) const;

    // The target called `id`, or null.
    std::shared_ptr<known_replica> find(const std::string &id) const;

    // Counts changes of which targets there are and which may get requests.
    std::uint64_t generation() const { return m_generation; }

    // All targets by id.
    const std::map<std::string, std::shared_ptr<known_replica>> &all() const { return m_byId; }

private:
    std::map<std::string, std::shared_ptr<known_replica>> m_byId;
    std::map<std::string, std::vector<std::shared_ptr<known_replica>>> m_byService;
    std::set<std::string> m_zonesOut;
    std::uint64_t m_generation = 1;
};

} // namespace gooseberrymoor
