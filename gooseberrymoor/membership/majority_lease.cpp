#include "gooseberrymoor/membership/majority_lease.h"

#include "gooseberrymoor/membership/cell_view.h"

#include <algorithm>
#include <vector>

namespace gooseberrymoor {

namespace {

constexpr std::size_t members_with_store_voter = 2;

} // namespace

majority_lease::majority_lease(duration length) : m_length(length) { }

void majority_lease::adopt(const cell_view &next, time_point now)
{
    // The only member granted itself everything until now.
    if (m_members == 1)
        m_until = now + m_length;
    m_members = next.members.size();
    m_grants.clear();
    m_storeRead = {};
}

void majority_lease::onGrant(const std::string &peer, time_point sentAt)
{
    time_point &newest = m_grants[peer];
    newest = std::max(newest, sentAt);
    extend();
}

void majority_lease::onStoreRead(time_point sentAt)
{
    m_storeRead = std::max(m_storeRead, sentAt);
    extend();
}

void majority_lease::end()
{
    m_members = 0;
    m_grants.clear();
    m_storeRead = {};
    m_until = {};
}

bool majority_lease::holds(time_point now) const
{
    return now < until();
}

time_point majority_lease::until() const
{
    return m_members == 1 ? time_point::max() : m_until;
}

void majority_lease::extend()
{
    std::vector<time_point> sent;
    for (const auto &[peer, sentAt] : m_grants)
        sent.push_back(sentAt);
    if (m_members == members_with_store_voter && m_storeRead != time_point {})
        sent.push_back(m_storeRead);
    const std::size_t needed = m_members / 2; // besides this member's own
    if (needed == 0 || sent.size() < needed)
        return;
    std::ranges::sort(sent, std::greater<> {});
    m_until = std::max(m_until, sent[needed - 1] + m_length);
}

} // namespace gooseberrymoor
