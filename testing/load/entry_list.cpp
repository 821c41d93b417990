#include "entry_list.h"

#include "gooseberrymoor/http/http_connection.h"

#include <boost/json.hpp>

#include <algorithm>

namespace json = boost::json;
using namespace gooseberrymoor;

namespace {

constexpr duration directory_timeout { 1000 };
constexpr duration retry_delay { 200 };
constexpr unsigned http_ok = 200;

} // namespace

entry_list::entry_list(std::vector<endpoint> bootstrapEntries, std::uint64_t seed)
    : m_bootstrapEntries(bootstrapEntries), m_entries(std::move(bootstrapEntries)), m_random(seed)
{
}

asio::awaitable<void> entry_list::refresh()
{
    if (m_refreshing || millis_clock::now() < m_validUntil)
        co_return;
    m_refreshing = true;
    std::vector<endpoint> candidates = m_entries;
    std::ranges::shuffle(candidates, m_random);
    candidates.insert(candidates.end(), m_bootstrapEntries.begin(), m_bootstrapEntries.end());
    bool updated = false;
    for (const endpoint &entry : candidates) {
        http_request request("GET", "/v1/entries");
        const time_point sent = millis_clock::now();
        const auto reply
            = co_await exchangeOnce(entry, std::move(request), sent + directory_timeout);
        updated = reply && reply->status == http_ok && applyDirectory(reply->body);
        if (updated)
            break;
    }
    if (!updated)
        m_validUntil = millis_clock::now() + retry_delay;
    m_refreshing = false;
}

endpoint entry_list::pick(const endpoint &except)
{
    std::vector<endpoint> others;
    std::ranges::copy_if(m_entries, std::back_inserter(others),
                         [&except](const endpoint &each) { return each != except; });
    const std::vector<endpoint> &eligible = others.empty() ? m_entries : others;
    return eligible[m_random() % eligible.size()];
}

bool entry_list::contains(const endpoint &entry) const
{
    return std::ranges::find(m_entries, entry) != m_entries.end();
}

bool entry_list::applyDirectory(const std::string &body)
{
    boost::system::error_code error;
    const json::value document = json::parse(body, error);
    if (error || !document.is_object())
        return false;
    const json::value *list = document.as_object().if_contains("entries");
    const json::value *ttl = document.as_object().if_contains("ttl_ms");
    if (!list || !list->is_array() || !ttl || !ttl->is_int64())
        return false;
    std::vector<endpoint> entries;
    for (const json::value &each : list->as_array()) {
        const auto entry
            = parseEndpoint(each.is_string() ? std::string_view(each.as_string()) : "");
        if (entry)
            entries.push_back(*entry);
    }
    if (entries.empty())
        return false;
    m_entries = std::move(entries);
    m_validUntil = millis_clock::now() + duration(ttl->as_int64());
    return true;
}
