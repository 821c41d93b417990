#include "soak_callers.h"

#include "chunked_request.h"

#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/base/timer.h"
#include "gooseberrymoor/http/http_connection.h"
#include "gooseberrymoor/http/http_headers.h"
#include "platform/protocol_names.h"

#include <boost/algorithm/string/split.hpp>

#include <algorithm>
#include <array>

namespace gooseberrymoor {

namespace {

constexpr duration request_interval { 15 }; // between the requests of one caller
constexpr duration chunked_interval { 40 }; // between the requests in chunks
constexpr std::uint32_t smuggled_one_in = 4; // of the requests of that caller
constexpr duration connect_timeout { 500 };
constexpr duration request_timeout { 1500 };
const std::string merged_path = "/sweep/1";
const std::string single_body = "single";

// The two largest records of the shards that have signed: s1 has two records, s2 has one.
std::string largestOf(const std::string &signatures)
{
    const std::string low(16, 'a');
    const std::string high(16, 'z');
    if (signatures.find("s2-") == std::string::npos)
        return low + low;
    return signatures.find("s1-") == std::string::npos ? high : high + low;
}

// Whether `reply` is complete and signed for the request: each signature ends with its id.
bool isOwnAnswer(const soak_record &record, const http_reply &reply)
{
    const bool isMerged = record.path == merged_path;
    const std::string signatures(headerValue(
        reply.headers, isMerged ? platform::part_signatures_field : platform::signature_field));
    std::vector<std::string> parts;
    boost::algorithm::split(parts, signatures, [](char c) { return c == ','; });
    const bool isSigned = std::all_of(parts.begin(), parts.end(), [&](const std::string &part) {
        return part.ends_with("." + record.attemptId);
    });
    return isSigned && reply.body == (isMerged ? largestOf(signatures) : single_body);
}

http_request toRequest(const soak_record &record)
{
    http_request request(record.isRepeatable ? "GET" : "POST", record.path);
    request.host = "a.example";
    request.headers
        = { { std::string(platform::attempt_id_field), record.attemptId },
            { std::string(platform::deadline_field), std::to_string(request_timeout.count()) } };
    return request;
}

} // namespace

soak_callers::soak_callers(asio::any_io_executor executor, std::vector<endpoint> nodes)
    : m_executor(std::move(executor)), m_nodes(std::move(nodes))
{
}

void soak_callers::start(std::size_t count, std::uint32_t seed)
{
    m_running = count + 1;
    startTask(m_executor, m_events, "chunked_caller", runChunked(seed));
    for (std::size_t i = 0; i < count; ++i)
        startTask(m_executor, m_events, "caller", run(seed + static_cast<std::uint32_t>(i)));
}

soak_record soak_callers::makeRecord(std::minstd_rand &random)
{
    static const std::array<std::string, 3> paths { merged_path, "/get/1", "/post/1" };
    soak_record record;
    record.path = paths[random() % paths.size()];
    record.isRepeatable = record.path != paths.back();
    record.attemptId = "soak-" + std::to_string(++m_lastId);
    return record;
}

asio::awaitable<void> soak_callers::run(std::uint32_t seed)
{
    std::minstd_rand random(seed);
    http_connection connection(m_executor);
    while (!m_stopped) {
        timer interval(m_executor, millis_clock::now() + request_interval);
        co_await interval.async_wait(as_result);
        if (!connection.isUsable()) {
            connection.close();
            const endpoint node = m_nodes[random() % m_nodes.size()];
            const time_point limit = millis_clock::now() + connect_timeout;
            const auto connected = co_await connection.connect(node, limit);
            if (!connected)
                continue;
        }
        soak_record record = makeRecord(random);
        http_request request = toRequest(record);
        const time_point limit = millis_clock::now() + request_timeout;
        const auto reply = co_await connection.exchange(std::move(request), limit);
        record.status = reply ? reply->status : 0;
        record.isOwnAnswer = reply && isOwnAnswer(record, *reply);
        const bool closes = !reply || reply->closeAfter;
        m_records.push_back(std::move(record));
        if (closes)
            connection.close();
    }
    --m_running;
}

asio::awaitable<void> soak_callers::runChunked(std::uint32_t seed)
{
    std::minstd_rand random(seed);
    while (!m_stopped) {
        timer interval(m_executor, millis_clock::now() + chunked_interval);
        co_await interval.async_wait(as_result);
        const endpoint node = m_nodes[random() % m_nodes.size()];
        const auto drawn = static_cast<std::uint32_t>(random());
        soak_record record = makeRecord(random);
        if (drawn % smuggled_one_in == 0)
            co_await sendSmuggled(node, std::move(record));
        else
            co_await sendChunked(node, drawn / smuggled_one_in, std::move(record));
    }
    --m_running;
}

asio::awaitable<void> soak_callers::sendChunked(endpoint node, std::uint32_t seed,
                                                soak_record record)
{
    http_request request = toRequest(record);
    const time_point deadline = millis_clock::now() + request_timeout;
    const auto reply = co_await sendChunkedRequest(node, std::move(request), seed, deadline);
    record.mustNotRun = breaksOff(seed);
    record.status = reply ? reply->status : 0;
    record.isOwnAnswer = reply && isOwnAnswer(record, *reply);
    m_records.push_back(std::move(record));
}

// Sends `record`'s request as the body of another one, whose length is in doubt.
asio::awaitable<void> soak_callers::sendSmuggled(endpoint node, soak_record record)
{
    record.mustNotRun = true;
    soak_record outer;
    outer.path = record.path;
    outer.isRepeatable = record.isRepeatable;
    outer.attemptId = record.attemptId + "-outer";
    const http_request smuggled = toRequest(record);
    const std::string inner = encodeHead(smuggled, "Content-Length: 0");
    http_request request = toRequest(outer);
    const time_point deadline = millis_clock::now() + request_timeout;
    co_await sendDoubtfulRequest(node, std::move(request), inner, deadline);
    m_records.push_back(std::move(record));
}

} // namespace gooseberrymoor
