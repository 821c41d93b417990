#include "gooseberrymoor/fleet/peer_liveness.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

// Three times `heartbeat_interval` of heartbeat_exchange.
constexpr duration silence_timeout { 900 };
// A longer gap between two updates means that the process was stalled.
constexpr duration max_update_gap { 450 };
// Longer than two times `silence_report_interval` of heartbeat_exchange.
constexpr duration silence_report_lifetime { 2500 };
constexpr std::ptrdiff_t min_silence_reports = 2;
constexpr std::ptrdiff_t max_probers = 2;

} // namespace

peer_liveness::peer_liveness(std::string ownName, std::string ownZone)
    : m_ownName(std::move(ownName)), m_ownZone(std::move(ownZone))
{
}

void peer_liveness::setNodes(const std::map<std::string, std::string> &zonesByName, time_point now)
{
    std::erase_if(m_otherNodes,
                  [&](const auto &each) { return !zonesByName.contains(each.first); });
    for (const auto &[name, zone] : zonesByName) {
        known_node &node = m_otherNodes.try_emplace(name, known_node { zone, now }).first->second;
        node.availabilityZone = zone;
    }
    const auto isGone = [this](const auto &each) {
        return each.first != m_ownName && !m_otherNodes.contains(each.first);
    };
    std::erase_if(m_watched, isGone);
    std::erase_if(m_silenceReports, isGone);
    updateRing(now);
}

void peer_liveness::onHeartbeat(const std::string &peer, peer_report report, time_point now)
{
    updateSilenceReports(peer, report.silent, now);
    m_heardPeers[peer] = { now, std::move(report) };
}

void peer_liveness::updateSilenceReports(const std::string &peer,
                                         const std::set<std::string> &silent, time_point now)
{
    const auto known = m_heardPeers.find(peer);
    if (known != m_heardPeers.end()) {
        for (const std::string &each : known->second.report.silent)
            m_silenceReports[each].erase(peer);
    }
    for (const std::string &each : silent)
        m_silenceReports[each][peer] = now;
    std::erase_if(m_silenceReports, [](const auto &each) { return each.second.empty(); });
}

void peer_liveness::onTime(time_point now)
{
    if (now - m_lastUpdate > max_update_gap) {
        for (auto &[name, since] : m_watched)
            since = now;
    }
    m_lastUpdate = now;
    updateRing(now);
    updateSilent(now);
}

bool peer_liveness::hasRecentHeartbeat(const std::string &peer, time_point now) const
{
    const auto found = m_heardPeers.find(peer);
    return found != m_heardPeers.end() && now - found->second.lastHeartbeat <= silence_timeout;
}

bool peer_liveness::isReportedSilent(const std::string &peer, time_point now) const
{
    const auto found = m_silenceReports.find(peer);
    if (found == m_silenceReports.end())
        return false;
    const auto recent
        = std::count_if(found->second.begin(), found->second.end(), [now](const auto &report) {
              return now - report.second <= silence_report_lifetime;
          });
    return recent >= (m_report.watchesAll ? 1 : min_silence_reports);
}

bool peer_liveness::isSilent(const std::string &peer, time_point now) const
{
    if (hasRecentHeartbeat(peer, now))
        return false;
    const auto watched = m_watched.find(peer);
    if (watched != m_watched.end() && now - watched->second > silence_timeout)
        return true;
    return isReportedSilent(peer, now);
}

bool peer_liveness::isAlive(const std::string &peer, time_point now) const
{
    if (hasRecentHeartbeat(peer, now))
        return true;
    const auto node = m_otherNodes.find(peer);
    if (node == m_otherNodes.end())
        return false;
    // A new node that this node watches is alive only after its first heartbeat: it has not been
    // watched for long enough to count as silent.
    const bool isNew = now - node->second.addedAt <= silence_timeout;
    if (isNew && m_watched.contains(peer))
        return false;
    return !isSilent(peer, now);
}

std::set<std::string> peer_liveness::heartbeatRecipients() const
{
    std::set<std::string> all = m_ring.watchersOf(m_ownName);
    for (const auto &[name, state] : m_heardPeers) {
        if (state.report.watchesAll && m_otherNodes.contains(name))
            all.insert(name);
    }
    const auto reporters = m_silenceReports.find(m_ownName);
    if (reporters != m_silenceReports.end()) {
        for (const auto &[name, reportedAt] : reporters->second)
            all.insert(name);
    }
    return all;
}

bool peer_liveness::hearsAnyPeer(time_point now) const
{
    return std::any_of(m_heardPeers.begin(), m_heardPeers.end(), [&](const auto &each) {
        return now - each.second.lastHeartbeat <= silence_timeout;
    });
}

bool peer_liveness::isLeaving(const std::string &peer) const
{
    const auto found = m_heardPeers.find(peer);
    return found != m_heardPeers.end() && found->second.report.leaving;
}

bool peer_liveness::isReader(time_point now) const
{
    if (m_report.leaving || m_report.storeLost)
        return false;
    return std::none_of(m_otherNodes.begin(), m_otherNodes.end(), [&](const auto &each) {
        const std::string &name = each.first;
        if (name >= m_ownName || !isAlive(name, now))
            return false;
        const auto state = m_heardPeers.find(name);
        return state == m_heardPeers.end()
            || (!state->second.report.leaving && !state->second.report.storeLost);
    });
}

bool peer_liveness::isProber(time_point now) const
{
    const auto precedingNodes
        = std::count_if(m_otherNodes.begin(), m_otherNodes.end(), [&](const auto &each) {
              return each.first < m_ownName && isAlive(each.first, now) && !isLeaving(each.first);
          });
    return precedingNodes < max_probers;
}

// Rebuilds the ring if nodes joined, left, fell silent or resumed their heartbeats.
void peer_liveness::updateRing(time_point now)
{
    std::vector<ring_node> nodes { { m_ownName, m_ownZone, true } };
    for (const auto &[name, node] : m_otherNodes)
        nodes.push_back({ name, node.availabilityZone, !isSilent(name, now) });
    if (nodes == m_ringNodes)
        return;
    m_ring = watch_ring(nodes);
    m_ringNodes = std::move(nodes);
    updateWatched(now);
}

void peer_liveness::updateWatched(time_point now)
{
    const std::set<std::string> &watched = m_ring.watchedBy(m_ownName);
    for (const std::string &each : watched)
        m_watched.try_emplace(each, now);
    if (m_report.watchesAll) {
        for (const auto &[name, node] : m_otherNodes)
            m_watched.try_emplace(name, now);
        return;
    }
    // Silent nodes stay watched, so that a change of watchers does not end their silence reports.
    std::erase_if(m_watched, [&](const auto &each) {
        return !watched.contains(each.first) && !m_report.silent.contains(each.first);
    });
}

void peer_liveness::updateSilent(time_point now)
{
    m_report.silent.clear();
    for (const auto &[name, since] : m_watched) {
        if (now - since > silence_timeout && !hasRecentHeartbeat(name, now))
            m_report.silent.insert(name);
    }
    const bool watchedAllBefore = m_report.watchesAll;
    const std::size_t silent = m_report.silent.size();
    m_report.watchesAll = 2 * silent > m_watched.size() || (watchedAllBefore && silent > 0);
    if (m_report.watchesAll != watchedAllBefore)
        updateWatched(now);
    if (!hearsAnyPeer(now))
        m_report.silent.clear(); // this node itself may be cut off
}

} // namespace gooseberrymoor
