#include "store_state.h"

#include "gooseberrymoor/store/base64.h"
#include "gooseberrymoor/store/etcd_codec.h"

#include <boost/json.hpp>

#include <stdexcept>
#include <vector>

namespace json = boost::json;
using gooseberrymoor::duration;
using gooseberrymoor::fromBase64;
using gooseberrymoor::time_point;
using gooseberrymoor::toBase64;

namespace {

constexpr std::int64_t longest_lease_seconds = 1'000'000;

std::string bytesAt(const json::object &from, const char *key)
{
    const json::value *value = from.if_contains(key);
    return value ? fromBase64(std::string(value->as_string())) : std::string();
}

std::int64_t numberAt(const json::object &from, const char *key)
{
    const json::value *value = from.if_contains(key);
    if (!value)
        return 0;
    return value->is_int64() ? value->as_int64() : std::stoll(std::string(value->as_string()));
}

json::object headerOf(std::int64_t revision)
{
    return { { "revision", std::to_string(revision) } };
}

bool isInRange(const std::string &key, const std::string &first, const std::string &last)
{
    return last.empty() ? key == first : key >= first && key < last;
}

struct put_request
{
    std::string key;
    std::string value;
    std::int64_t lease = 0;
};

// The writes of a transaction, parsed completely before any of them is applied.
struct write_set
{
    std::vector<put_request> puts;
    std::vector<std::string> removals;
};

write_set parseWrites(const json::array &changes)
{
    write_set writes;
    for (const json::value &each : changes) {
        const json::object &change = each.as_object();
        if (const json::value *put = change.if_contains("request_put")) {
            const json::object &row = put->as_object();
            writes.puts.push_back(
                { bytesAt(row, "key"), bytesAt(row, "value"), numberAt(row, "lease") });
        }
        if (const json::value *removal = change.if_contains("request_delete_range"))
            writes.removals.push_back(bytesAt(removal->as_object(), "key"));
    }
    return writes;
}

} // namespace

std::string store_state::range(const std::string &body) const
{
    const json::object request = json::parse(body).as_object();
    const std::string first = bytesAt(request, "key");
    const std::string last = bytesAt(request, "range_end");
    json::array entries;
    for (auto each = m_entries.lower_bound(first); each != m_entries.end(); ++each) {
        if (!isInRange(each->first, first, last))
            break;
        entries.push_back(
            json::object { { "key", toBase64(each->first) },
                           { "value", toBase64(each->second.value) },
                           { "mod_revision", std::to_string(each->second.modRevision) } });
    }
    return json::serialize(json::object { { "header", headerOf(m_revision) }, { "kvs", entries } });
}

std::string store_state::transact(const std::string &body)
{
    const json::object request = json::parse(body).as_object();
    for (const json::value &each : request.at("compare").as_array()) {
        const json::object &compare = each.as_object();
        const auto found = m_entries.find(bytesAt(compare, "key"));
        const std::int64_t actualRevision
            = found == m_entries.end() ? 0 : found->second.modRevision;
        if (std::to_string(actualRevision) != compare.at("mod_revision").as_string())
            return json::serialize(json::object { { "header", headerOf(m_revision) } });
    }
    const write_set writes = parseWrites(request.at("success").as_array());
    for (const put_request &put : writes.puts) {
        if (put.lease != 0 && !m_leases.contains(put.lease))
            throw std::invalid_argument("requested lease not found");
    }
    ++m_revision;
    for (const put_request &put : writes.puts)
        m_entries[put.key] = { put.value, m_revision, put.lease };
    for (const std::string &key : writes.removals)
        remove(key);
    return json::serialize(
        json::object { { "header", headerOf(m_revision) }, { "succeeded", true } });
}

std::string store_state::grantLease(const std::string &body, time_point now)
{
    const std::int64_t seconds = numberAt(json::parse(body).as_object(), "TTL");
    if (seconds < 1 || seconds > longest_lease_seconds)
        throw std::invalid_argument("TTL: out of range");
    const duration timeToLive = std::chrono::seconds(seconds);
    m_leases[++m_lastLease] = { timeToLive, now + timeToLive };
    return json::serialize(json::object { { "header", headerOf(m_revision) },
                                          { "ID", std::to_string(m_lastLease) },
                                          { "TTL", std::to_string(seconds) } });
}

std::string store_state::keepAlive(const std::string &body, time_point now)
{
    const std::int64_t id = numberAt(json::parse(body).as_object(), "ID");
    json::object result { { "header", headerOf(m_revision) }, { "ID", std::to_string(id) } };
    const auto found = m_leases.find(id);
    if (found != m_leases.end()) {
        found->second.expiry = now + found->second.timeToLive;
        const auto seconds
            = std::chrono::duration_cast<std::chrono::seconds>(found->second.timeToLive);
        result["TTL"] = std::to_string(seconds.count());
    }
    return json::serialize(json::object { { "result", result } });
}

bool store_state::expireLeases(time_point now)
{
    std::vector<std::string> expired;
    for (const auto &[key, each] : m_entries) {
        const auto held = m_leases.find(each.lease);
        if (held != m_leases.end() && held->second.expiry <= now)
            expired.push_back(key);
    }
    std::erase_if(m_leases, [now](const auto &each) { return each.second.expiry <= now; });
    if (expired.empty())
        return false;
    ++m_revision;
    for (const std::string &key : expired)
        remove(key);
    return true;
}

std::string store_state::changes(const std::string &body) const
{
    const json::object request = json::parse(body).as_object();
    const json::object &create = request.at("create_request").as_object();
    const std::string first = bytesAt(create, "key");
    const std::string last = bytesAt(create, "range_end");
    const std::int64_t start = numberAt(create, "start_revision");
    json::array events;
    for (const auto &[key, each] : m_entries) {
        if (isInRange(key, first, last) && each.modRevision >= start) {
            const json::object row { { "key", toBase64(key) },
                                     { "value", toBase64(each.value) },
                                     { "mod_revision", std::to_string(each.modRevision) } };
            events.push_back(json::object { { "kv", row } });
        }
    }
    for (const auto &[key, revision] : m_removalRevisions) {
        if (isInRange(key, first, last) && revision >= start) {
            const json::object row { { "key", toBase64(key) },
                                     { "mod_revision", std::to_string(revision) } };
            events.push_back(json::object { { "type", "DELETE" }, { "kv", row } });
        }
    }
    if (events.empty())
        return "";
    const json::object result { { "header", headerOf(m_revision) }, { "events", events } };
    return json::serialize(json::object { { "result", result } }) + "\n";
}

std::string store_state::watchCreatedLine() const
{
    const json::object result { { "header", headerOf(m_revision) }, { "created", true } };
    return json::serialize(json::object { { "result", result } }) + "\n";
}

void store_state::remove(const std::string &key)
{
    if (m_entries.erase(key) > 0)
        m_removalRevisions[key] = m_revision;
}
