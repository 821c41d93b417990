#include "gooseberrymoor/fleet/fleet_view.h"

#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/fleet/fleet_member_codec.h"
#include "gooseberrymoor/fleet/peer_liveness.h"

#include <algorithm>
#include <functional>
#include <random>

namespace gooseberrymoor {

namespace {

constexpr std::size_t min_preferred_addresses = 2; // so that callers have another if one fails
constexpr double min_fast_fraction = 0.5; // of the processor cores of the fastest node

} // namespace

fleet_view::fleet_view(fleet_member own, const peer_liveness &liveness, event_log &log)
    : m_own(std::move(own)), m_liveness(liveness), m_log(log)
{
}

void fleet_view::onValue(const std::string &key, const std::string &value, std::int64_t revision)
{
    auto member = decodeFleetMember(value);
    if (!member) {
        m_log.write("member_unreadable", { { "key", key }, { "reason", member.error() } });
        return;
    }
    if (!key.ends_with("/" + member->name)) {
        m_log.write("member_unreadable", { { "key", key }, { "reason", "names another node" } });
        return;
    }
    if (member->name == m_own.name)
        return;
    m_log.write("member_seen",
                { { "member", member->name },
                  { "leaving", member->leaving ? "true" : "false" },
                  { "revision", std::to_string(revision) } });
    m_others[key] = { std::move(*member), false };
    ++m_generation;
}

void fleet_view::onRemoved(const std::string &key)
{
    const auto found = m_others.find(key);
    if (found != m_others.end())
        found->second.isKeyRemoved = true;
}

// The starts of a node have no order, but within one of them it only ever begins to leave.
value_order fleet_view::orderOf(const std::string &value, const std::string &known) const
{
    const auto member = decodeFleetMember(value);
    const auto knownMember = decodeFleetMember(known);
    if (!member || !knownMember || member->incarnation != knownMember->incarnation)
        return value_order::unknown;
    return knownMember->leaving && !member->leaving ? value_order::older : value_order::not_older;
}

void fleet_view::onTime(time_point now)
{
    for (auto each = m_others.begin(); each != m_others.end();) {
        const auto &[member, isKeyRemoved] = each->second;
        if (!isKeyRemoved || m_liveness.isAlive(member.name, now)) {
            ++each;
            continue;
        }
        m_log.write("member_gone", { { "member", member.name } });
        each = m_others.erase(each);
        ++m_generation;
    }
}

std::vector<std::string> fleet_view::names() const
{
    std::vector<std::string> names { m_own.name };
    for (const auto &[key, known] : m_others)
        names.push_back(known.member.name);
    return names;
}

std::map<std::string, endpoint> fleet_view::peerAddresses() const
{
    std::map<std::string, endpoint> addresses;
    for (const auto &[key, known] : m_others)
        addresses[known.member.name] = known.member.peerAddress;
    return addresses;
}

std::map<std::string, std::string> fleet_view::peerZones() const
{
    std::map<std::string, std::string> zones;
    for (const auto &[key, known] : m_others)
        zones[known.member.name] = known.member.availabilityZone;
    return zones;
}

bool fleet_view::acceptsCallers(const fleet_member &member, bool hearsAnyPeer, time_point now) const
{
    if (member.leaving || m_liveness.isLeaving(member.name))
        return false;
    return !hearsAnyPeer || m_liveness.isAlive(member.name, now);
}

std::vector<endpoint> fleet_view::callerAddresses(const std::set<std::string> &zones,
                                                  std::size_t maxCount, time_point now) const
{
    std::vector<endpoint> addresses;
    for (const fleet_member *each : callerNodes(acceptingNodes(now), zones))
        addresses.push_back(each->callerAddress);
    // The seed differs between nodes, so that the lists of all nodes together cover the fleet.
    if (addresses.size() > maxCount) {
        std::shuffle(addresses.begin(), addresses.end(), std::minstd_rand(shuffleSeed()));
        addresses.resize(maxCount);
    }
    return addresses;
}

std::set<std::string> fleet_view::servingNodes(time_point now) const
{
    const std::vector<const fleet_member *> accepting = acceptingNodes(now);
    std::set<std::string> zones;
    for (const fleet_member *each : accepting)
        zones.insert(each->availabilityZone);
    std::set<std::string> serving;
    for (const std::string &zone : zones) {
        for (const fleet_member *each : callerNodes(accepting, { zone }))
            serving.insert(each->name);
    }
    return serving;
}

// The nodes that accept callers, including this one.
std::vector<const fleet_member *> fleet_view::acceptingNodes(time_point now) const
{
    std::vector<const fleet_member *> accepting;
    if (!m_own.leaving)
        accepting.push_back(&m_own);
    const bool hearsAnyPeer = m_liveness.hearsAnyPeer(now);
    for (const auto &[key, known] : m_others) {
        if (acceptsCallers(known.member, hearsAnyPeer, now))
            accepting.push_back(&known.member);
    }
    return accepting;
}

// The nodes of `accepting` to which callers in `zones` are sent.
std::vector<const fleet_member *>
fleet_view::callerNodes(const std::vector<const fleet_member *> &accepting,
                        const std::set<std::string> &zones) const
{
    const double fastCores = fastProcessorCores();
    std::vector<const fleet_member *> fast;
    std::vector<const fleet_member *> inZones;
    std::vector<const fleet_member *> fastInZones;
    for (const fleet_member *each : accepting) {
        const bool isFast = each->processorCores >= fastCores;
        const bool isInZones = zones.contains(each->availabilityZone);
        if (isFast)
            fast.push_back(each);
        if (isInZones)
            inZones.push_back(each);
        if (isFast && isInZones)
            fastInZones.push_back(each);
    }
    for (const auto *each : { &fastInZones, &inZones, &fast }) {
        if (each->size() >= min_preferred_addresses)
            return *each;
    }
    return accepting;
}

// The processor cores from which on a node counts as fast.
double fleet_view::fastProcessorCores() const
{
    double most = m_own.processorCores;
    for (const auto &[key, known] : m_others)
        most = std::max(most, known.member.processorCores);
    return min_fast_fraction * most;
}

std::uint32_t fleet_view::shuffleSeed() const
{
    return static_cast<std::uint32_t>(std::hash<std::string>()(m_own.name));
}

} // namespace gooseberrymoor
