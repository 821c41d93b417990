#include "gooseberrymoor/forward/leaf_pool.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/base/timer.h"
#include "gooseberrymoor/forward/caller_request.h"
#include "gooseberrymoor/forward/leaf_completion_queue.h"
#include "gooseberrymoor/forward/leaf_protocol.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/replica/replica_subset.h"
#include "testing/silent_log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <fstream>
#include <memory>
#include <unistd.h>
#include <vector>

using namespace gooseberrymoor;
using tcp = asio::ip::tcp;

namespace {

constexpr duration max_wait_time { 20'000 };
constexpr duration drip_interval { 100 };
constexpr std::size_t flood_bytes = 16ULL * 1024; // per write
constexpr std::size_t many_targets = 135;
// A node's VM has 160 MB; replies of targets in trouble may take a part of it.
constexpr std::size_t max_memory_growth = 64ULL * 1024 * 1024;

// What a target sends to each request: a beginning, then a text that it repeats until the other
// side closes.
struct endless_reply
{
    std::string beginning;
    std::string repeated;
    bool isSlow = false; // one byte of `repeated` per interval
};

class plain_protocol : public leaf_protocol
{
public:
    http_request encode(const caller_request &request, const replica &, duration) const override
    {
        return { request.method, request.target };
    }
    leaf_call_result decode(http_reply reply, const std::string &) const override
    {
        leaf_call_result result;
        if (reply.status == 200)
            result.outcome = attempt_outcome::answered;
        result.reply = std::move(reply);
        return result;
    }
};

class endless_target
{
public:
    endless_target(asio::io_context &context, counters &events, endless_reply reply)
        : m_events(events), m_reply(std::move(reply)),
          m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        while (!m_reply.isSlow && !m_reply.repeated.empty() && m_flood.size() < flood_bytes)
            m_flood += m_reply.repeated;
        startTask(context.get_executor(), events, "accept", accept());
    }

    endpoint address() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

    std::size_t sentBytes = 0;
    int closedConnections = 0; // closed by the other side while the reply went on

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            auto [error, socket] = co_await m_acceptor.async_accept(as_result);
            if (error)
                co_return;
            startTask(m_acceptor.get_executor(), m_events, "serve", serve(std::move(socket)));
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string received;
        while (true) {
            const auto [error, size] = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(received), "\r\n\r\n", as_result);
            if (error)
                co_return;
            received.erase(0, size);
            co_await asio::async_write(socket, asio::buffer(m_reply.beginning), as_result);
            while (!m_reply.repeated.empty() && co_await sendMore(socket)) { }
        }
    }

    asio::awaitable<bool> sendMore(tcp::socket &socket)
    {
        if (m_reply.isSlow) {
            timer pause(m_acceptor.get_executor(), millis_clock::now() + drip_interval);
            co_await pause.async_wait(as_result);
        }
        const std::string &text = m_reply.isSlow ? m_reply.repeated : m_flood;
        const auto [error, size]
            = co_await asio::async_write(socket, asio::buffer(text), as_result);
        sentBytes += size;
        closedConnections += error ? 1 : 0;
        co_return !error;
    }

    counters &m_events;
    endless_reply m_reply;
    std::string m_flood;
    tcp::acceptor m_acceptor;
};

std::size_t residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t totalPages = 0;
    std::size_t residentPages = 0;
    statm >> totalPages >> residentPages;
    return residentPages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

struct fixture
{
    std::shared_ptr<known_replica> add(const endless_reply &reply)
    {
        targets.push_back(std::make_unique<endless_target>(context, events, reply));
        auto known = std::make_shared<known_replica>();
        known->entry.id = std::to_string(targets.size());
        known->entry.service = "s";
        known->entry.address = targets.back()->address();
        return known;
    }

    void send(const std::shared_ptr<known_replica> &target, duration time = max_wait_time)
    {
        auto request = std::make_shared<caller_request>();
        request->method = "GET";
        request->target = "/";
        auto call = std::make_shared<leaf_call>();
        call->request = request;
        call->target = target;
        call->completionQueue = completionQueue;
        call->deadline = millis_clock::now() + time;
        pool.send(call);
    }

    leaf_completion next()
    {
        const time_point limit = millis_clock::now() + max_wait_time;
        while (completionQueue->completions.empty() && millis_clock::now() < limit) {
            context.run_one_for(duration(20));
            peakBytes = std::max(peakBytes, residentBytes());
        }
        REQUIRE(!completionQueue->completions.empty());
        leaf_completion completion = std::move(completionQueue->completions.front());
        completionQueue->completions.pop_front();
        return completion;
    }

    attempt_outcome outcomeOf(const endless_reply &reply, duration time = max_wait_time)
    {
        send(add(reply), time);
        const attempt_outcome outcome = next().result.outcome;
        context.run_for(drip_interval + drip_interval); // the target notices the close
        return outcome;
    }

    asio::io_context context { 1 };
    counters events;
    silent_log log;
    plain_protocol protocol;
    replica_set replicas;
    replica_subset subset { replicas, "node-1", "a" };
    std::vector<std::unique_ptr<endless_target>> targets;
    leaf_pool pool { context.get_executor(), { protocol, replicas, subset, log, events }, 1 };
    std::shared_ptr<leaf_completion_queue> completionQueue
        = std::make_shared<leaf_completion_queue>(context.get_executor());
    std::size_t peakBytes = 0;
};

const std::string ok = "HTTP/1.1 200 OK\r\n";
const endless_reply endless_chunks { ok + "Transfer-Encoding: chunked\r\n\r\n",
                                     "400\r\n" + std::string(1024, 'x') + "\r\n" };

} // namespace

TEST_CASE("A target sends a reply without end")
{
    fixture env;
    const std::size_t before = residentBytes();
    const auto isCutOff = [&](const endless_reply &reply) {
        const attempt_outcome outcome = env.outcomeOf(reply);
        CHECK(outcome == attempt_outcome::lost); // it may have run
        CHECK(env.targets.back()->closedConnections == 1);
        CHECK(env.events.value("leaf_replies_too_large") == 1);
        CHECK(env.peakBytes < before + max_memory_growth);
    };

    SUBCASE("as a status line")
    {
        isCutOff({ "HTTP/1.1 200 ", "a" });
    }
    SUBCASE("as one header field")
    {
        isCutOff({ ok + "X: ", "a" });
    }
    SUBCASE("as header fields")
    {
        isCutOff({ ok, "X-Field: value\r\n" });
    }
    SUBCASE("as chunks of a body")
    {
        isCutOff(endless_chunks);
    }
    SUBCASE("as the extension of a chunk")
    {
        isCutOff({ ok + "Transfer-Encoding: chunked\r\n\r\n4;x=", "a" });
    }
    SUBCASE("as trailer fields after the last chunk")
    {
        isCutOff({ ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n" });
    }
    SUBCASE("as a body without a length")
    {
        isCutOff({ ok + "\r\n", std::string(1024, 'x') });
    }
    SUBCASE("as a body with a length beyond any memory")
    {
        isCutOff({ ok + "Content-Length: 9223372036854775808\r\n\r\n", std::string(1024, 'x') });
    }
    SUBCASE("as interim replies")
    {
        isCutOff({ "", "HTTP/1.1 100 Continue\r\n\r\n" });
    }
    SUBCASE("one byte at a time, until the deadline")
    {
        const endless_reply drip { ok + "Content-Length: 1000\r\n\r\n", "x", true };
        CHECK(env.outcomeOf(drip, duration(500)) == attempt_outcome::timed_out);
        CHECK(env.targets.back()->closedConnections == 1);
    }
    SUBCASE("after a complete one, which counts, but the connection is not used again")
    {
        const endless_reply extra { ok + "Content-Length: 4\r\n\r\nbody", "x" };
        CHECK(env.outcomeOf(extra) == attempt_outcome::answered);
        CHECK(env.targets.back()->closedConnections == 1);
        CHECK(env.pool.openConnections() == 0);
    }
    SUBCASE("as do many targets at once, while another one serves")
    {
        for (std::size_t i = 0; i < many_targets; ++i)
            env.send(env.add(endless_chunks));
        const auto healthy = env.add({ ok + "Content-Length: 4\r\n\r\nbody", "" });
        const std::string healthyId = healthy->entry.id;
        env.send(healthy);
        for (std::size_t i = 0; i <= many_targets; ++i) {
            const leaf_completion completion = env.next();
            const bool isHealthy = completion.target == healthyId;
            CHECK((completion.result.outcome == attempt_outcome::answered) == isHealthy);
        }
        CHECK(env.events.value("leaf_replies_too_large") == many_targets);
        CHECK(env.peakBytes < before + max_memory_growth);
    }
}

TEST_CASE("A target sends interim replies before its reply")
{
    fixture env;
    const endless_reply reply {
        "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n" + ok + "Content-Length: 4\r\n\r\nbody", ""
    };
    env.send(env.add(reply));
    const leaf_completion completion = env.next();
    CHECK(completion.result.outcome == attempt_outcome::answered);
    CHECK(completion.result.reply.body == "body");
}
