#include "platform_store_state.h"

#include "gooseberrymoor/store/base64.h"

#include <boost/json.hpp>

namespace gooseberrymoor {

namespace json = boost::json;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_condition_failed = 412;

std::string stringField(const json::object &object, std::string_view key)
{
    return std::string(object.at(key).as_string());
}

} // namespace

json::object platform_store_state::describe(const std::string &key, const item &each)
{
    return { { "key", key },
             { "value", toBase64(each.value) },
             { "revision", each.revision },
             { "created_revision", each.created },
             { "lease", each.lease } };
}

json::object platform_store_state::range(const std::string &prefix, const std::string &after) const
{
    json::array items;
    bool hasMore = false;
    for (const auto &[key, each] : m_contents.items) {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after))
            continue;
        if (items.size() == page_size) {
            hasMore = true;
            break;
        }
        items.emplace_back(describe(key, each));
    }
    return { { "items", std::move(items) },
             { "has_more", hasMore },
             { "store_revision", m_contents.revision } };
}

std::optional<json::object> platform_store_state::changes(const std::string &prefix,
                                                          std::int64_t after) const
{
    if (after < m_compactedRevision || after > m_contents.revision)
        return std::nullopt;
    json::array events;
    for (const event &each : m_history) {
        if (each.revision <= after || !each.key.starts_with(prefix))
            continue;
        if (each.newItem)
            events.emplace_back(describe(each.key, *each.newItem));
        else
            events.emplace_back(json::object {
                { "key", each.key }, { "revision", each.revision }, { "deleted", true } });
    }
    return json::object { { "events", std::move(events) },
                          { "store_revision", m_contents.revision } };
}

std::pair<unsigned, json::object> platform_store_state::transact(const json::object &body)
{
    for (const json::value &each : body.at("expected_revision").as_array()) {
        const json::object &condition = each.as_object();
        const auto found = m_contents.items.find(stringField(condition, "key"));
        const std::int64_t actual = found == m_contents.items.end() ? 0 : found->second.revision;
        if (actual != condition.at("revision").to_number<std::int64_t>())
            return { status_condition_failed, { { "items", json::array() } } };
    }
    for (const json::value &each : body.at("puts").as_array()) {
        const auto lease = each.as_object().at("lease").to_number<std::int64_t>();
        if (lease != 0 && !m_contents.leases.contains(lease))
            return { status_not_found, {} };
    }
    for (const json::value &each : body.at("puts").as_array()) {
        const json::object &putRequest = each.as_object();
        put(stringField(putRequest, "key"), fromBase64(stringField(putRequest, "value")),
            putRequest.at("lease").to_number<std::int64_t>());
    }
    for (const json::value &each : body.at("deletes").as_array())
        remove(std::string(each.as_string()));
    return { status_ok, { { "revision", m_contents.revision } } };
}

std::int64_t platform_store_state::grantLease(duration timeToLive, time_point now)
{
    m_contents.leases[++m_contents.lastLease] = { timeToLive, now + timeToLive };
    return m_contents.lastLease;
}

std::optional<duration> platform_store_state::renew(std::int64_t lease, time_point now)
{
    const auto found = m_contents.leases.find(lease);
    if (found == m_contents.leases.end())
        return std::nullopt;
    found->second.expiry = now + found->second.timeToLive;
    return found->second.timeToLive;
}

bool platform_store_state::revokeLease(std::int64_t lease)
{
    std::vector<std::string> keys;
    for (const auto &[key, each] : m_contents.items) {
        if (each.lease == lease)
            keys.push_back(key);
    }
    for (const std::string &key : keys)
        remove(key);
    return m_contents.leases.erase(lease) > 0;
}

bool platform_store_state::expireLeases(time_point now)
{
    std::vector<std::int64_t> expired;
    for (const auto &[lease, state] : m_contents.leases) {
        if (state.expiry <= now)
            expired.push_back(lease);
    }
    for (const std::int64_t lease : expired)
        revokeLease(lease);
    return !expired.empty();
}

void platform_store_state::put(const std::string &key, const std::string &value, std::int64_t lease)
{
    item &each = m_contents.items[key];
    each.value = value;
    each.revision = ++m_contents.revision;
    each.created = each.created == 0 ? m_contents.revision : each.created;
    each.lease = lease;
    m_history.push_back({ key, each, m_contents.revision });
}

void platform_store_state::remove(const std::string &key)
{
    if (m_contents.items.erase(key) > 0)
        m_history.push_back({ key, std::nullopt, ++m_contents.revision });
}

void platform_store_state::copy()
{
    m_copy = m_contents;
}

void platform_store_state::restoreCopy(time_point now)
{
    m_contents = m_copy;
    for (auto &[lease, state] : m_contents.leases)
        state.expiry = now + state.timeToLive;
    m_history.clear();
    m_compactedRevision = m_contents.revision;
    ++m_era;
}

std::int64_t platform_store_state::leaseOf(const std::string &key) const
{
    const auto found = m_contents.items.find(key);
    return found == m_contents.items.end() ? 0 : found->second.lease;
}

std::optional<std::string> platform_store_state::value(const std::string &key) const
{
    const auto found = m_contents.items.find(key);
    if (found == m_contents.items.end())
        return std::nullopt;
    return found->second.value;
}

std::optional<duration> platform_store_state::leaseTtlOf(const std::string &key) const
{
    const auto item = m_contents.items.find(key);
    if (item == m_contents.items.end())
        return std::nullopt;
    const auto lease = m_contents.leases.find(item->second.lease);
    if (lease == m_contents.leases.end())
        return std::nullopt;
    return lease->second.timeToLive;
}

} // namespace gooseberrymoor
