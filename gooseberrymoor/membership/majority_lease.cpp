#include "gooseberrymoor/membership/majority_lease.h"

#include "gooseberrymoor/membership/cell_view.h"

#include <algorithm>
#include <vector>

namespace gooseberrymoor {

namespace {

constexpr std::size_t store_voter_view_size = 2; // size of a view in which the store has a vote

} // namespace

majority_lease::majority_lease(duration length) : m_length(length) { }

void majority_lease::onViewChange(const cell_view &next, time_point now)
{
    // The lease of an only member does not expire; from now on it needs the others' grants.
    if (m_memberCount == 1)
        m_expiry = now + m_length;
    m_memberCount = next.members.size();
    m_grants.clear();
    m_lastStoreRead = {};
}

void majority_lease::onGrant(const std::string &peer, time_point sentAt)
{
    time_point &newest = m_grants[peer];
    newest = std::max(newest, sentAt);
    updateExpiry();
}

void majority_lease::onStoreRead(time_point sentAt)
{
    m_lastStoreRead = std::max(m_lastStoreRead, sentAt);
    updateExpiry();
}

void majority_lease::reset()
{
    m_memberCount = 0;
    m_grants.clear();
    m_lastStoreRead = {};
    m_expiry = {};
}

bool majority_lease::isValid(time_point now) const
{
    return now < expiry();
}

time_point majority_lease::expiry() const
{
    return m_memberCount == 1 ? time_point::max() : m_expiry;
}

void majority_lease::updateExpiry()
{
    std::vector<time_point> sent;
    for (const auto &[peer, sentAt] : m_grants)
        sent.push_back(sentAt);
    if (m_memberCount == store_voter_view_size && m_lastStoreRead != time_point {})
        sent.push_back(m_lastStoreRead);
    const std::size_t needed = m_memberCount / 2; // besides the member's own vote
    if (needed == 0 || sent.size() < needed)
        return;
    std::ranges::sort(sent, std::greater<> {});
    m_expiry = std::max(m_expiry, sent[needed - 1] + m_length);
}

} // namespace gooseberrymoor
