#include "target_handler.h"

#include <stdexcept>

namespace json = boost::json;
using namespace gooseberrymoor;

namespace {

constexpr unsigned http_ok = 200;
constexpr unsigned http_bad_request = 400;
constexpr unsigned http_not_found = 404;
constexpr unsigned http_conflict = 409;
constexpr unsigned http_cancelled = 499;
constexpr unsigned http_failed = 500;
constexpr unsigned http_unavailable = 503;
constexpr unsigned http_gateway_timeout = 504;
constexpr int permille = 1000;
constexpr duration stall_time { 120'000 };
constexpr std::size_t max_remembered_cancellations = 10'000;

// Thrown to make the server close the connection without an answer.
struct connection_aborted : std::runtime_error
{
    connection_aborted() : std::runtime_error("connection cut") { }
};

std::string settingText(const json::value &value)
{
    return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

} // namespace

target_handler::target_handler(asio::any_io_executor executor, target_settings settings)
    : m_executor(executor), m_settings(std::move(settings)),
      m_instance(std::to_string(std::random_device {}())),
      m_random(static_cast<std::uint32_t>(m_settings.seed)), m_changed(executor)
{
}

asio::awaitable<http_reply> target_handler::handle(http_request request)
{
    if (request.path == "/account")
        co_return http_reply(http_ok, m_statistics.toJson(m_instance));
    if (request.path == "/control")
        co_return handleControl(request.body);
    throwIfDown();
    if (request.path == "/leaf")
        co_return co_await handleLeaf(parseLeafRequest(request.body));
    if (request.path == "/cancel")
        co_return co_await handleCancel(std::move(request.body));
    if (request.path == "/health")
        co_return health();
    co_return refuse(error_kind::bad_request, "");
}

bool target_handler::onConnectionOpened()
{
    const time_point now = millis_clock::now();
    const bool isFull = m_settings.connections > 0 && m_connections >= m_settings.connections;
    if (isFull || now < m_downUntil) {
        ++m_statistics.refusedConnections;
        return false;
    }
    ++m_connections;
    m_statistics.maxConnections = std::max(m_statistics.maxConnections, m_connections);
    m_blockedUntil = std::max(m_blockedUntil, now) + duration(m_settings.connectionCostMs);
    return true;
}

void target_handler::onConnectionClosed()
{
    --m_connections;
}

target_handler::leaf target_handler::parseLeafRequest(const std::string &body)
{
    const json::object from = json::parse(body).as_object();
    leaf request;
    request.id = std::string(from.at("request").as_string());
    request.shard = std::string(from.at("shard").as_string());
    request.snapshot = std::string(from.at("snapshot").as_string());
    request.body = std::string(from.at("body").as_string());
    if (const json::value *route = from.if_contains("route"))
        request.route = std::string(route->as_string());
    request.isIdempotent = from.at("idempotent").as_bool();
    request.deadline = millis_clock::now() + duration(from.at("timeout_ms").as_int64());
    return request;
}

asio::awaitable<http_reply> target_handler::handleLeaf(leaf request)
{
    if (m_cancelledIds.contains(request.id))
        co_return makeReply(http_cancelled, { { "error", "cancelled" } });
    if (m_settings.draining != 0) {
        ++m_statistics.drained;
        co_return makeReply(http_unavailable, { { "error", "draining" } });
    }
    if (!m_settings.snapshots.contains(request.snapshot))
        co_return makeReply(http_conflict, { { "error", "snapshot_unavailable" } });
    const bool isFull = m_running >= m_settings.slots && m_waiting >= m_settings.queue;
    if (isFull || drawPermille(m_settings.shedPermille)) {
        ++m_statistics.shed;
        co_return makeReply(http_unavailable, { { "error", "shed" } });
    }
    const bool stalls = drawPermille(m_settings.silentPermille);
    if (stalls)
        ++m_statistics.silenced;
    if (stalls && m_settings.silentSwallows != 0)
        co_await stallConnection();
    http_reply reply = co_await runLeaf(std::move(request));
    if (stalls)
        co_await stallConnection();
    co_return reply;
}

asio::awaitable<http_reply> target_handler::runLeaf(leaf request)
{
    if (isCold() && m_running + m_waiting >= m_settings.coldSlots) {
        ++m_statistics.coldViolations;
        crash();
        throw connection_aborted();
    }
    m_coldStart.onRequest(millis_clock::now());
    m_active.insert(request.id);
    ++m_waiting;
    m_statistics.maxActive = std::max(m_statistics.maxActive, m_running + m_waiting);
    const int generation = m_generation;
    co_await waitForSlot(request);
    throwIfRestarted(generation);
    --m_waiting;
    const bool isStopped = isCancelled(request) || isExpired(request);
    if (!isStopped)
        co_await run(request);
    m_active.erase(request.id);
    m_changed.notify();
    co_return finishRequest(request);
}

asio::awaitable<void> target_handler::run(leaf request)
{
    const int generation = m_generation;
    const duration latency = latencyOf(request);
    ++m_running;
    m_statistics.maxRunning = std::max(m_statistics.maxRunning, m_running);
    if (!request.isIdempotent)
        ++m_statistics.executionsByBody[request.body];
    const time_point end = std::max(millis_clock::now(), m_blockedUntil) + latency;
    while (millis_clock::now() < end && generation == m_generation) {
        if (isCancelled(request) || isExpired(request))
            break;
        co_await m_changed.wait(m_settings.deadlines != 0 ? std::min(end, request.deadline) : end);
    }
    throwIfRestarted(generation);
    --m_running;
}

http_reply target_handler::finishRequest(const leaf &request)
{
    if (isCancelled(request)) {
        ++m_statistics.cancelled;
        return makeReply(http_cancelled, { { "error", "cancelled" } });
    }
    if (isExpired(request)) {
        ++m_statistics.expired;
        return makeReply(http_gateway_timeout, { { "error", "deadline" } });
    }
    m_coldStart.onServed();
    if (isDegradedFor(request) && drawPermille(m_settings.badFailurePermille)) {
        ++m_statistics.failed;
        return makeReply(http_failed, { { "error", "failed" } });
    }
    ++m_statistics.served;
    const std::string text = request.shard + "@" + request.snapshot + ":" + request.body;
    return makeReply(
        http_ok,
        { { "request_shard", request.shard }, { "snapshot", request.snapshot }, { "body", text } });
}

asio::awaitable<void> target_handler::waitForSlot(leaf request)
{
    const int generation = m_generation;
    while (m_running >= m_settings.slots && generation == m_generation) {
        if (isCancelled(request) || isExpired(request))
            co_return;
        const bool observesDeadline = m_settings.deadlines != 0;
        co_await m_changed.wait(observesDeadline ? request.deadline : time_point::max());
    }
}

bool target_handler::isCancelled(const leaf &request) const
{
    return m_cancelledIds.contains(request.id);
}

bool target_handler::isExpired(const leaf &request) const
{
    return m_settings.deadlines != 0 && millis_clock::now() >= request.deadline;
}

void target_handler::throwIfRestarted(int generation) const
{
    if (generation != m_generation)
        throw connection_aborted();
}

// Sends nothing more on the connection, then closes it.
asio::awaitable<void> target_handler::stallConnection()
{
    const time_point until = millis_clock::now() + stall_time;
    while (millis_clock::now() < until)
        co_await m_changed.wait(until);
    throw connection_aborted();
}

asio::awaitable<http_reply> target_handler::handleCancel(std::string body)
{
    if (m_settings.cancellation == 0)
        co_return makeReply(http_not_found, { { "error", "cancellation" } });
    const std::string id(json::parse(body).at("request").as_string());
    recordCancelled(id);
    m_changed.notify();
    while (m_active.contains(id))
        co_await m_changed.wait();
    co_return makeReply(http_ok, { { "request", id }, { "stopped", true } });
}

http_reply target_handler::handleControl(const std::string &body)
{
    const json::value document = json::parse(body);
    target_settings changed = m_settings;
    for (const auto &[name, value] : document.as_object()) {
        if (name == "restart" || name == "turn_cold")
            continue;
        if (!changed.set(name, settingText(value)))
            return { http_bad_request, json::serialize(json::object { { "unknown", name } }) };
    }
    m_settings = changed;
    if (document.as_object().contains("restart"))
        restart();
    if (document.as_object().contains("turn_cold"))
        m_coldStart.begin();
    if (document.as_object().contains("seed"))
        m_random.seed(static_cast<std::uint32_t>(m_settings.seed));
    m_changed.notify();
    return { http_ok, "{}" };
}

http_reply target_handler::health()
{
    const bool reportsIdle = m_settings.healthLies != 0;
    json::object report { { "instance", m_instance },
                          { "draining", !reportsIdle && m_settings.draining != 0 },
                          { "running", reportsIdle ? 0 : m_running },
                          { "waiting", reportsIdle ? 0 : m_waiting } };
    if (m_settings.tellsCold != 0)
        report["cold"] = !reportsIdle && isCold();
    return { http_ok,
             m_healthHistory.recordAndGetDelayed(json::serialize(report), millis_clock::now(),
                                                 duration(m_settings.healthLagMs)) };
}

http_reply target_handler::makeReply(unsigned status, json::object body)
{
    body["instance"] = m_instance;
    if (m_settings.tellsCold != 0)
        body["cold"] = isCold();
    if (m_settings.draining != 0)
        body["draining"] = true;
    return { status, json::serialize(body) };
}

void target_handler::throwIfDown() const
{
    if (millis_clock::now() < m_downUntil)
        throw connection_aborted();
}

bool target_handler::isCold() const
{
    return m_coldStart.isCold(m_settings, millis_clock::now());
}

void target_handler::crash()
{
    m_downUntil = millis_clock::now() + duration(m_settings.fallOverMs);
    restart();
}

// Drops all running and waiting requests; their connections are closed.
void target_handler::restart()
{
    ++m_statistics.restarts;
    ++m_generation;
    m_instance = std::to_string(std::random_device {}());
    m_coldStart.begin();
    m_running = 0;
    m_waiting = 0;
    m_active.clear();
    m_changed.notify();
}

void target_handler::recordCancelled(const std::string &id)
{
    if (!m_cancelledIds.insert(id).second)
        return;
    m_cancelledOrder.push_back(id);
    if (m_cancelledOrder.size() <= max_remembered_cancellations)
        return;
    m_cancelledIds.erase(m_cancelledOrder.front());
    m_cancelledOrder.pop_front();
}

bool target_handler::drawPermille(int share)
{
    return share > 0 && std::uniform_int_distribution<int>(0, permille - 1)(m_random) < share;
}

bool target_handler::isDegradedFor(const leaf &request) const
{
    const bool enoughServed = m_statistics.served >= m_settings.badAfterRequests;
    const bool enoughRunning = m_running >= m_settings.badAboveRunning;
    const bool routeMatches = m_settings.badRoute.empty() || m_settings.badRoute == request.route;
    return enoughServed && enoughRunning && routeMatches;
}

duration target_handler::latencyOf(const leaf &request)
{
    const bool isStraggler = drawPermille(m_settings.stragglerPermille);
    const int baseMs = isStraggler ? m_settings.stragglerMs : m_settings.latencyMs;
    return duration(baseMs + (isDegradedFor(request) ? m_settings.badSlowdownMs : 0));
}
