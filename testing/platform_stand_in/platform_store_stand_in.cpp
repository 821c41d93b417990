#include "platform_store_stand_in.h"

#include "platform/protocol_names.h"

#include <boost/json.hpp>

namespace gooseberrymoor {

namespace json = boost::json;

namespace {

constexpr duration max_stall { 60'000 };

// The value of `name` in the query of `path`. Does no unescaping, as the tests' keys need none.
std::string queryValue(const std::string &path, const std::string &name)
{
    const std::size_t at = path.find(name + "=");
    if (at == std::string::npos)
        return "";
    const std::size_t begin = at + name.size() + 1;
    return path.substr(begin, path.find('&', begin) - begin);
}

std::int64_t parseNumberOrZero(const std::string &text)
{
    return text.empty() ? 0 : std::stoll(text);
}

std::int64_t leaseIdFrom(const std::string &path)
{
    return parseNumberOrZero(path.substr(path.rfind('/') + 1));
}

} // namespace

platform_store_stand_in::platform_store_stand_in(asio::any_io_executor executor)
    : m_changed(std::move(executor))
{
}

asio::awaitable<http_reply> platform_store_stand_in::handle(http_request request)
{
    http_reply reply = co_await process(std::move(request));
    co_return withEra(std::move(reply));
}

http_reply platform_store_stand_in::withEra(http_reply reply) const
{
    if (m_tellsEra)
        reply.headers.emplace_back(platform::store_era_field, std::to_string(m_state.era()));
    return reply;
}

void platform_store_stand_in::restoreCopy()
{
    m_state.restoreCopy(millis_clock::now());
    m_changed.notify();
}

asio::awaitable<http_reply> platform_store_stand_in::process(http_request request)
{
    ++m_calls[request.path.substr(0, request.path.find('?'))];
    if (m_state.expireLeases(millis_clock::now()))
        m_changed.notify();
    if (m_faultMode == store_fault_mode::silent)
        co_await withholdAnswer();
    if (m_faultMode == store_fault_mode::busy)
        co_return http_reply(503, "{}");
    if (request.path.starts_with("/kv-watch"))
        co_return co_await watch(request.path);
    http_reply reply = answer(request);
    m_changed.notify();
    if (request.path == "/kv-txn" && m_repliesToLose > 0) {
        --m_repliesToLose;
        co_await withholdAnswer();
    }
    co_return reply;
}

http_reply platform_store_stand_in::refuse(error_kind, std::string)
{
    return withEra({ 503, "{}" });
}

void platform_store_stand_in::put(const std::string &key, const std::string &value)
{
    m_state.put(key, value);
    m_changed.notify();
}

void platform_store_stand_in::remove(const std::string &key)
{
    m_state.remove(key);
    m_changed.notify();
}

int platform_store_stand_in::calls(const std::string &path) const
{
    const auto found = m_calls.find(path);
    return found == m_calls.end() ? 0 : found->second;
}

http_reply platform_store_stand_in::answer(const http_request &request)
{
    const time_point now = millis_clock::now();
    const std::string &path = request.path;
    if (path.starts_with("/kv-range")) {
        return { 200,
                 json::serialize(
                     m_state.range(queryValue(path, "path_prefix"), queryValue(path, "after"))) };
    }
    if (path == "/kv-txn") {
        const auto [status, body] = m_state.transact(json::parse(request.body).as_object());
        return { status, json::serialize(body) };
    }
    if (path == "/kv-lease") {
        const json::value document = json::parse(request.body);
        const duration timeToLive(document.as_object().at("ttl_ms").to_number<std::int64_t>());
        const json::object body { { "lease", m_state.grantLease(timeToLive, now) },
                                  { "ttl_ms", timeToLive.count() } };
        return { 200, json::serialize(body) };
    }
    if (path.starts_with("/kv-keep/")) {
        const auto timeToLive = m_state.renew(leaseIdFrom(path), now);
        if (!timeToLive)
            return { 404, "{}" };
        return { 200, json::serialize(json::object { { "ttl_ms", timeToLive->count() } }) };
    }
    if (path.starts_with("/kv-lease-end/"))
        return { m_state.revokeLease(leaseIdFrom(path)) ? 200U : 404U, "{}" };
    return { 404, "{}" };
}

asio::awaitable<http_reply> platform_store_stand_in::watch(std::string path)
{
    const std::string prefix = queryValue(path, "path_prefix");
    const std::int64_t after = parseNumberOrZero(queryValue(path, "after"));
    const time_point until
        = millis_clock::now() + duration(parseNumberOrZero(queryValue(path, "wait_ms")));
    while (true) {
        const auto changes = m_state.changes(prefix, after);
        if (!changes)
            co_return http_reply(410, "{}");
        const bool hasEvents = !changes->at("events").as_array().empty();
        if (hasEvents || millis_clock::now() >= until)
            co_return http_reply(200, json::serialize(*changes));
        co_await m_changed.wait(until);
    }
}

asio::awaitable<void> platform_store_stand_in::withholdAnswer()
{
    const time_point until = millis_clock::now() + max_stall;
    timer wait(co_await asio::this_coro::executor, until);
    co_await wait.async_wait(as_result);
}

} // namespace gooseberrymoor
