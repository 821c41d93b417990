#include "gooseberrymoor/fleet/fleet_view.h"

#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/fleet/fleet_member_codec.h"

namespace gooseberrymoor {

namespace {

constexpr std::size_t enough_in_zone = 2; // so that one node's failure leaves callers another

} // namespace

fleet_view::fleet_view(fleet_member own, event_log &log) : m_own(std::move(own)), m_log(log) { }

void fleet_view::onValue(const std::string &key, const std::string &value, std::int64_t revision)
{
    auto member = decodeFleetMember(value);
    if (!member) {
        m_log.write("member_unreadable", { { "key", key }, { "reason", member.error() } });
        return;
    }
    if (member->name == m_own.name)
        return;
    m_log.write("member_seen",
                { { "member", member->name },
                  { "leaving", member->leaving ? "true" : "false" },
                  { "revision", std::to_string(revision) } });
    m_others[key] = std::move(*member);
    ++m_generation;
}

void fleet_view::onRemoved(const std::string &key)
{
    const auto found = m_others.find(key);
    if (found == m_others.end())
        return;
    m_log.write("member_gone", { { "member", found->second.name } });
    m_others.erase(found);
    ++m_generation;
}

std::vector<std::string> fleet_view::names() const
{
    std::vector<std::string> names { m_own.name };
    for (const auto &[key, member] : m_others)
        names.push_back(member.name);
    return names;
}

std::vector<endpoint> fleet_view::callerAddresses(const std::string &zone, std::size_t most) const
{
    std::vector<endpoint> all;
    std::vector<endpoint> inZone;
    const auto add = [&](const fleet_member &member) {
        if (member.leaving || all.size() >= most)
            return;
        all.push_back(member.callerAddress);
        if (member.availabilityZone == zone)
            inZone.push_back(member.callerAddress);
    };
    add(m_own);
    for (const auto &[key, member] : m_others)
        add(member);
    return inZone.size() >= enough_in_zone ? inZone : all;
}

} // namespace gooseberrymoor
