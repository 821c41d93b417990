#include "target_handler.h"

#include "gooseberrymoor/http/refusal.h"

#include <random>

namespace json = boost::json;
using namespace gooseberrymoor;

target_handler::target_handler(asio::any_io_executor executor, target_settings settings)
    : m_executor(executor), m_settings(std::move(settings)),
      m_instance(std::to_string(std::random_device {}())), m_slotFree(executor),
      m_cancelled(executor)
{
}

asio::awaitable<http_reply> target_handler::handle(http_request request)
{
    if (request.path == "/leaf")
        co_return co_await handleLeaf(request.body);
    if (request.path == "/cancel")
        co_return handleCancel(request.body);
    if (request.path == "/account")
        co_return http_reply(200, account());
    co_return refuse(error_kind::bad_request);
}

http_reply target_handler::refuse(error_kind kind)
{
    return toReply({ kind, verdict::not_run, "" });
}

asio::awaitable<http_reply> target_handler::handleLeaf(const std::string &body)
{
    const json::object request = json::parse(body).as_object();
    const std::string id(request.at("request").as_string());
    const std::string shard(request.at("shard").as_string());
    const std::string snapshot(request.at("snapshot").as_string());
    const std::string text(request.at("body").as_string());
    const time_point deadline = millis_clock::now() + duration(request.at("timeout_ms").as_int64());
    if (!m_settings.snapshots.contains(snapshot))
        co_return replyWith(409, { { "error", "snapshot_unavailable" } });
    if (m_running >= m_settings.slots && m_waiting >= m_settings.queue) {
        ++m_shed;
        co_return replyWith(503, { { "error", "shed" } });
    }
    ++m_waiting;
    while (m_running >= m_settings.slots && millis_clock::now() < deadline)
        co_await m_slotFree.wait(deadline);
    --m_waiting;
    if (millis_clock::now() >= deadline)
        co_return replyWith(504, { { "error", "deadline" } });
    ++m_running;
    m_mostRunning = std::max(m_mostRunning, m_running);
    if (!request.at("idempotent").as_bool())
        ++m_runsByBody[text];
    const time_point end = std::min(millis_clock::now() + m_settings.latency, deadline);
    while (millis_clock::now() < end && !m_cancelledIds.contains(id))
        co_await m_cancelled.wait(end);
    --m_running;
    m_slotFree.notify();
    if (m_cancelledIds.erase(id) > 0)
        co_return replyWith(499, { { "error", "cancelled" } });
    ++m_served;
    co_return replyWith(200,
                        { { "request_shard", shard },
                          { "snapshot", snapshot },
                          { "body", shard + "@" + snapshot + ":" + text } });
}

http_reply target_handler::handleCancel(const std::string &body)
{
    m_cancelledIds.insert(std::string(json::parse(body).at("request").as_string()));
    m_cancelled.notify();
    return replyWith(200, {});
}

http_reply target_handler::replyWith(unsigned status, json::object body) const
{
    body["instance"] = m_instance;
    return { status, json::serialize(body) };
}

std::string target_handler::account() const
{
    json::object runs;
    for (const auto &[body, count] : m_runsByBody)
        runs[body] = count;
    return json::serialize(json::object { { "instance", m_instance },
                                          { "most_running", m_mostRunning },
                                          { "served", m_served },
                                          { "shed", m_shed },
                                          { "runs", runs } });
}
