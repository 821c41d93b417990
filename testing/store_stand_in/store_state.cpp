#include "store_state.h"

#include "gooseberrymoor/store/etcd_codec.h"

#include <boost/json.hpp>

namespace json = boost::json;
using gooseberrymoor::fromBase64;
using gooseberrymoor::toBase64;

namespace {

std::string bytesAt(const json::object &from, const char *key)
{
    const json::value *value = from.if_contains(key);
    return value ? fromBase64(std::string(value->as_string())) : std::string();
}

json::object headerOf(std::int64_t revision)
{
    return { { "revision", std::to_string(revision) } };
}

} // namespace

std::string store_state::range(const std::string &body) const
{
    const json::object request = json::parse(body).as_object();
    const std::string first = bytesAt(request, "key");
    const std::string last = bytesAt(request, "range_end");
    json::array entries;
    for (auto each = m_entries.lower_bound(first); each != m_entries.end(); ++each) {
        const bool inside = last.empty() ? each->first == first : each->first < last;
        if (!inside)
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
        const std::int64_t present = found == m_entries.end() ? 0 : found->second.modRevision;
        if (std::to_string(present) != compare.at("mod_revision").as_string())
            return json::serialize(json::object { { "header", headerOf(m_revision) } });
    }
    ++m_revision;
    for (const json::value &each : request.at("success").as_array()) {
        const json::object &change = each.as_object();
        if (const json::value *put = change.if_contains("request_put")) {
            const json::object &row = put->as_object();
            m_entries[bytesAt(row, "key")] = { bytesAt(row, "value"), m_revision };
        }
        if (const json::value *removal = change.if_contains("request_delete_range"))
            m_entries.erase(bytesAt(removal->as_object(), "key"));
    }
    return json::serialize(
        json::object { { "header", headerOf(m_revision) }, { "succeeded", true } });
}
