#include "gooseberrymoor/fleet/peer_liveness.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr duration longest_silence { 900 }; // three heartbeats
constexpr duration longest_gap { 450 }; // between two looks at the time, in a process that runs
constexpr duration report_age { 2500 }; // reports are repeated each second
constexpr std::ptrdiff_t reports_needed = 2;
constexpr std::ptrdiff_t most_probers = 2;

} // namespace

peer_liveness::peer_liveness(std::string ownName, std::string ownZone)
    : m_ownName(std::move(ownName)), m_ownZone(std::move(ownZone))
{
}

void peer_liveness::setNodes(const std::map<std::string, std::string> &zonesByName, time_point now)
{
    std::erase_if(m_nodes, [&](const auto &each) { return !zonesByName.contains(each.first); });
    for (const auto &[name, zone] : zonesByName) {
        known_node &node = m_nodes.try_emplace(name, known_node { zone, now }).first->second;
        node.availabilityZone = zone;
    }
    const auto isGone = [this](const auto &each) {
        return each.first != m_ownName && !m_nodes.contains(each.first);
    };
    std::erase_if(m_watched, isGone);
    std::erase_if(m_reports, isGone);
    redraw(now);
}

void peer_liveness::onHeartbeat(const std::string &peer, peer_report report, time_point now)
{
    takeReports(peer, report.silent, now);
    m_peers[peer] = { now, std::move(report) };
}

void peer_liveness::takeReports(const std::string &peer, const std::set<std::string> &silent,
                                time_point now)
{
    const auto known = m_peers.find(peer);
    if (known != m_peers.end()) {
        for (const std::string &each : known->second.report.silent)
            m_reports[each].erase(peer);
    }
    for (const std::string &each : silent)
        m_reports[each][peer] = now;
    std::erase_if(m_reports, [](const auto &each) { return each.second.empty(); });
}

void peer_liveness::onTime(time_point now)
{
    if (now - m_lastTime > longest_gap) {
        for (auto &[name, since] : m_watched)
            since = now;
    }
    m_lastTime = now;
    redraw(now);
    updateSilent(now);
}

bool peer_liveness::isHeardDirectly(const std::string &peer, time_point now) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() && now - found->second.heard <= longest_silence;
}

bool peer_liveness::isReportedSilent(const std::string &peer, time_point now) const
{
    const auto found = m_reports.find(peer);
    if (found == m_reports.end())
        return false;
    const auto recent
        = std::count_if(found->second.begin(), found->second.end(),
                        [now](const auto &report) { return now - report.second <= report_age; });
    return recent >= (m_report.watchesAll ? 1 : reports_needed);
}

bool peer_liveness::isSilent(const std::string &peer, time_point now) const
{
    if (isHeardDirectly(peer, now))
        return false;
    const auto watched = m_watched.find(peer);
    if (watched != m_watched.end() && now - watched->second > longest_silence)
        return true;
    return isReportedSilent(peer, now);
}

bool peer_liveness::isAlive(const std::string &peer, time_point now) const
{
    if (isHeardDirectly(peer, now))
        return true;
    const auto node = m_nodes.find(peer);
    if (node == m_nodes.end())
        return false;
    const bool isNew = now - node->second.since <= longest_silence;
    if (isNew && m_watched.contains(peer))
        return false;
    return !isSilent(peer, now);
}

std::set<std::string> peer_liveness::watchers() const
{
    std::set<std::string> all = m_ring.watchersOf(m_ownName);
    for (const auto &[name, state] : m_peers) {
        if (state.report.watchesAll && m_nodes.contains(name))
            all.insert(name);
    }
    const auto reporters = m_reports.find(m_ownName);
    if (reporters != m_reports.end()) {
        for (const auto &[name, reportedAt] : reporters->second)
            all.insert(name);
    }
    return all;
}

bool peer_liveness::hearsAnyPeer(time_point now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &each) {
        return now - each.second.heard <= longest_silence;
    });
}

bool peer_liveness::isLeaving(const std::string &peer) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() && found->second.report.leaving;
}

bool peer_liveness::isReader(time_point now) const
{
    if (m_report.leaving || m_report.storeLost)
        return false;
    return std::none_of(m_nodes.begin(), m_nodes.end(), [&](const auto &each) {
        const std::string &name = each.first;
        if (name >= m_ownName || !isAlive(name, now))
            return false;
        const auto state = m_peers.find(name);
        return state == m_peers.end()
            || (!state->second.report.leaving && !state->second.report.storeLost);
    });
}

bool peer_liveness::isProber(time_point now) const
{
    const auto before = std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto &each) {
        return each.first < m_ownName && isAlive(each.first, now) && !isLeaving(each.first);
    });
    return before < most_probers;
}

// Draws the ring anew if nodes came, went, fell silent or were heard again.
void peer_liveness::redraw(time_point now)
{
    std::vector<watched_node> nodes { { m_ownName, m_ownZone, true } };
    for (const auto &[name, node] : m_nodes)
        nodes.push_back({ name, node.availabilityZone, !isSilent(name, now) });
    if (nodes == m_drawnFrom)
        return;
    m_ring = watch_ring(nodes);
    m_drawnFrom = std::move(nodes);
    updateWatched(now);
}

void peer_liveness::updateWatched(time_point now)
{
    const std::set<std::string> &watched = m_ring.watchedBy(m_ownName);
    for (const std::string &each : watched)
        m_watched.try_emplace(each, now);
    if (m_report.watchesAll) {
        for (const auto &[name, node] : m_nodes)
            m_watched.try_emplace(name, now);
        return;
    }
    // What is silent stays watched, so that its reports don't lapse with a change of watchers.
    std::erase_if(m_watched, [&](const auto &each) {
        return !watched.contains(each.first) && !m_report.silent.contains(each.first);
    });
}

void peer_liveness::updateSilent(time_point now)
{
    m_report.silent.clear();
    for (const auto &[name, since] : m_watched) {
        if (now - since > longest_silence && !isHeardDirectly(name, now))
            m_report.silent.insert(name);
    }
    const bool watchedAll = m_report.watchesAll;
    const std::size_t silent = m_report.silent.size();
    m_report.watchesAll = 2 * silent > m_watched.size() || (watchedAll && silent > 0);
    if (m_report.watchesAll != watchedAll)
        updateWatched(now);
    if (!hearsAnyPeer(now))
        m_report.silent.clear(); // it may be this node that is cut off
}

} // namespace gooseberrymoor
