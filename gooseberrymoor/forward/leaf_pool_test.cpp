#include "gooseberrymoor/forward/leaf_pool.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/base/timer.h"
#include "gooseberrymoor/forward/caller_request.h"
#include "gooseberrymoor/forward/leaf_completion_queue.h"
#include "gooseberrymoor/forward/leaf_protocol.h"
#include "gooseberrymoor/http/http_headers.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/replica/replica_subset.h"
#include "gooseberrymoor/routing/routing_configuration.h"
#include "testing/silent_log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <deque>

using namespace gooseberrymoor;
using tcp = asio::ip::tcp;

namespace {

constexpr duration max_wait_time { 10'000 };
constexpr duration backoff_time { 300 };
const std::string good_reply = "HTTP/1.1 200 OK\r\nId: a1\r\nContent-Length: 4\r\n\r\nbody";
const std::string refusal
    = "HTTP/1.1 503 Busy\r\nId: a1\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n";

// Sends the attempt id in the header field "Id", and expects it in the reply.
class echo_protocol : public leaf_protocol
{
public:
    http_request encode(const caller_request &request, const replica &, duration) const override
    {
        http_request message(request.method, request.target, request.body);
        message.headers.emplace_back("Id", request.attemptId);
        return message;
    }
    leaf_call_result decode(http_reply reply, const std::string &attemptId) const override
    {
        leaf_call_result result;
        result.isMismatched = headerValue(reply.headers, "Id") != attemptId;
        if (!result.isMismatched)
            result.outcome = headerValue(reply.headers, "Refused").empty()
                ? attempt_outcome::answered
                : attempt_outcome::refused;
        result.signals.isLeaving = !headerValue(reply.headers, "Leaving").empty();
        if (!headerValue(reply.headers, "Pause").empty())
            result.signals.retryAfter = backoff_time;
        result.reply = std::move(reply);
        return result;
    }
};

// Reaction of a scripted target to one request.
struct scripted_reply
{
    std::string bytes;
    bool close = false; // close the connection after the bytes
    bool reset = false; // reset the connection after the bytes
    std::string lateBytes {}; // sent before the reply to the next request on the connection
    duration delay { 0 };
};

// A target that answers the n-th request over all its connections with the n-th reply.
class scripted_target
{
public:
    scripted_target(asio::io_context &context, counters &events)
        : m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        startTask(context.get_executor(), events, "accept", accept(events));
    }

    endpoint address() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

    std::deque<scripted_reply> replies;
    int connections = 0;
    int requests = 0;

private:
    asio::awaitable<void> accept(counters &events)
    {
        while (true) {
            auto [error, socket] = co_await m_acceptor.async_accept(as_result);
            if (error)
                co_return;
            ++connections;
            startTask(m_acceptor.get_executor(), events, "serve", performCall(std::move(socket)));
        }
    }

    asio::awaitable<void> performCall(tcp::socket socket)
    {
        std::string received;
        std::string lateBytes;
        while (true) {
            const auto [error, size] = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(received), "\r\n\r\n", as_result);
            if (error)
                co_return;
            received.erase(0, size);
            ++requests;
            if (replies.empty())
                continue; // does not respond
            const scripted_reply reply = replies.front();
            replies.pop_front();
            timer work(socket.get_executor(), millis_clock::now() + reply.delay);
            co_await work.async_wait(as_result);
            const std::string bytes = lateBytes + reply.bytes;
            lateBytes = reply.lateBytes;
            co_await asio::async_write(socket, asio::buffer(bytes), as_result);
            boost::system::error_code ignored;
            if (reply.reset)
                socket.set_option(asio::socket_base::linger(true, 0), ignored);
            if (reply.reset)
                socket.close(ignored); // the destructor would close it without a reset
            if (reply.reset || reply.close)
                co_return;
        }
    }

    tcp::acceptor m_acceptor;
};

struct fixture
{
    fixture()
    {
        known->entry.service = "s";
        known->entry.address = target.address();
        routing_configuration configuration;
        configuration.services["s"].connectionLimit = 4;
        subset.configure(configuration); // allows two connections: half of the limit is reserved
    }

    std::shared_ptr<leaf_call> send(const std::string &attemptId, duration time = duration(5000))
    {
        auto request = std::make_shared<caller_request>();
        request->method = "GET";
        request->target = "/";
        request->attemptId = attemptId;
        return send(request, time);
    }

    std::shared_ptr<leaf_call> send(std::shared_ptr<const caller_request> request,
                                    duration time = duration(5000))
    {
        auto call = std::make_shared<leaf_call>();
        call->request = std::move(request);
        call->target = known;
        call->completionQueue = completionQueue;
        call->attempt = ++lastAttempt;
        call->deadline = millis_clock::now() + time;
        pool.send(call);
        return call;
    }

    leaf_call_result next()
    {
        const time_point limit = millis_clock::now() + max_wait_time;
        while (completionQueue->completions.empty() && millis_clock::now() < limit)
            context.run_one_for(duration(20));
        REQUIRE(!completionQueue->completions.empty());
        endedAttempt = completionQueue->completions.front().attempt;
        leaf_call_result result = std::move(completionQueue->completions.front().result);
        completionQueue->completions.pop_front();
        context.run_for(duration(20)); // let the connection become idle or close
        return result;
    }

    asio::io_context context { 1 };
    counters events;
    scripted_target target { context, events };
    echo_protocol protocol;
    replica_set replicas;
    replica_subset subset { replicas, "node-1", "a" };
    silent_log log;
    leaf_pool pool { context.get_executor(), { protocol, replicas, subset, log, events }, 1 };
    std::shared_ptr<known_replica> known = std::make_shared<known_replica>();
    std::shared_ptr<leaf_completion_queue> completionQueue
        = std::make_shared<leaf_completion_queue>(context.get_executor());
    std::uint64_t lastAttempt = 0;
    std::uint64_t endedAttempt = 0; // whose result `next` returned last
};

} // namespace

TEST_CASE("Requests to a target")
{
    fixture env;

    SUBCASE("reuse a connection")
    {
        env.target.replies = { { good_reply }, { good_reply } };
        env.send("a1");
        CHECK(env.next().outcome == attempt_outcome::answered);
        env.send("a1");
        const leaf_call_result result = env.next();
        CHECK(result.outcome == attempt_outcome::answered);
        CHECK(result.reply.body == "body");
        CHECK(env.target.connections == 1);
    }
    SUBCASE("are queued when all connections are busy and no more may be opened")
    {
        for (int i = 0; i < 3; ++i)
            env.send("a1");
        env.context.run_for(duration(100));
        CHECK(env.target.connections == 2);
        CHECK(env.target.requests == 2);
        CHECK(env.known->health.outstanding() == 3);
    }
    SUBCASE("that are queued are not sent when they are cancelled")
    {
        env.send("a1");
        env.send("a1");
        const auto waiting = env.send("a1");
        env.pool.cancelQueued(waiting);
        CHECK(env.next().outcome == attempt_outcome::abandoned);
        CHECK(env.target.requests == 2);
        CHECK(env.known->health.outstanding() == 2);
    }
    SUBCASE("that are queued go elsewhere when their target is no longer eligible")
    {
        env.send("a1");
        env.send("a1");
        env.send("a1");
        env.context.run_for(duration(50));
        env.known->entry.draining = true;
        env.pool.reconcile();
        CHECK(env.next().outcome == attempt_outcome::unreachable);
        CHECK(env.target.requests == 2);
        CHECK(env.known->health.outstanding() == 2);
    }
    SUBCASE("that are queued go elsewhere when their target is unreachable")
    {
        env.known->entry.address = { "127.0.0.1", 1 };
        for (int i = 0; i < 5; ++i)
            env.send("a1");
        for (int i = 0; i < 5; ++i)
            CHECK(env.next().outcome == attempt_outcome::unreachable);
        CHECK(env.events.value("leaf_connects_failed") <= 2);
    }
    SUBCASE("that are queued are sent in order of priority")
    {
        const auto first = env.send("a1");
        env.send("a1");
        env.send("a2");
        auto urgent = env.send("a3");
        urgent->priority = -1;
        env.context.run_for(duration(50));
        env.pool.cancel(first);
        env.target.replies = { { "HTTP/1.1 200 OK\r\nId: a3\r\nContent-Length: 0\r\n\r\n" } };
        CHECK(env.next().outcome == attempt_outcome::abandoned);
        CHECK(env.next().outcome == attempt_outcome::answered);
    }
    SUBCASE("are not answered with a truncated reply")
    {
        env.target.replies
            = { { "HTTP/1.1 200 OK\r\nId: a1\r\nContent-Length: 9\r\n\r\nbody", true } };
        env.send("a1");
        CHECK(env.next().outcome == attempt_outcome::lost);
    }
    // Guards against a reply whose head breaks off being passed on as a complete empty one.
    SUBCASE("are not answered with a reply that ends at any byte of its head or body")
    {
        const std::string chunkedReply
            = "HTTP/1.1 200 OK\r\nId: a1\r\nTransfer-Encoding: chunked\r\n\r\n"
              "4\r\nbody\r\n0\r\n\r\n";
        const std::string unframedHead = "HTTP/1.1 200 OK\r\nId: a1\r\n\r\n";
        for (const std::string &whole : { good_reply, chunkedReply, unframedHead }) {
            for (std::size_t length = 0; length < whole.size(); ++length) {
                for (const bool reset : { false, true }) {
                    CAPTURE(whole.substr(0, length));
                    env.target.replies = { { whole.substr(0, length), !reset, reset } };
                    env.send("a1");
                    CHECK(env.next().outcome == attempt_outcome::lost);
                }
            }
        }
    }
    SUBCASE("are not answered with a reply of unknown length that ends with a reset")
    {
        env.target.replies = { { "HTTP/1.1 200 OK\r\nId: a1\r\n\r\nbody", false, true } };
        env.send("a1");
        CHECK(env.next().outcome == attempt_outcome::lost);
        SUBCASE("but with one that ends with an orderly close")
        {
            env.target.replies = { { "HTTP/1.1 200 OK\r\nId: a1\r\n\r\nbody", true } };
            env.send("a1");
            const leaf_call_result result = env.next();
            CHECK(result.outcome == attempt_outcome::answered);
            CHECK(result.reply.body == "body");
        }
    }
    SUBCASE("are not answered with bytes that are not an HTTP reply")
    {
        env.target.replies = { { "\x16\x03 nonsense\r\n\r\n" } };
        env.send("a1");
        CHECK(env.next().outcome == attempt_outcome::lost);
    }
    // Guards against a reply with the status 000 or 600 reaching the caller as an answer, and
    // against bytes after the head of one with 000 being read as the answer.
    SUBCASE("are not answered with a reply whose status is no status of HTTP")
    {
        for (const std::string status : { "000", "001", "099", "600", "999" }) {
            const std::string head = "HTTP/1.1 " + status + " X\r\nId: a1\r\n";
            const std::string length
                = "Content-Length: " + std::to_string(good_reply.size()) + "\r\n\r\n";
            for (const std::string &rest :
                 { std::string("Content-Length: 0\r\n\r\n"), length + good_reply }) {
                CAPTURE(head + rest);
                env.target.replies = { { head + rest } };
                env.send("a1");
                CHECK(env.next().outcome == attempt_outcome::lost);
                CHECK(env.pool.openConnections() == 0);
            }
        }
    }
    SUBCASE("are not answered with what follows a switch to another protocol")
    {
        env.target.replies = { { "HTTP/1.1 101 X\r\nUpgrade: y\r\n\r\n" + good_reply } };
        env.send("a1");
        CHECK(env.next().outcome == attempt_outcome::lost);
    }
    SUBCASE("are not answered with a duplicate reply to another request")
    {
        env.target.replies = { { good_reply + good_reply }, { good_reply } };
        env.send("a1");
        CHECK(env.next().outcome == attempt_outcome::answered);
        env.target.replies = { { "HTTP/1.1 200 OK\r\nId: a2\r\nContent-Length: 0\r\n\r\n" } };
        env.send("a2");
        const leaf_call_result result = env.next();
        CHECK(result.outcome == attempt_outcome::answered);
        CHECK(result.reply.body.empty());
        CHECK(env.target.connections == 2);
    }
    SUBCASE("are not answered with a late reply to another request")
    {
        env.target.replies = { { good_reply } };
        env.send("a2");
        const leaf_call_result result = env.next();
        CHECK(result.outcome == attempt_outcome::lost);
        CHECK(result.isMismatched);
        SUBCASE("and the next one uses a new connection")
        {
            env.target.replies = { { good_reply } };
            env.send("a1");
            CHECK(env.next().outcome == attempt_outcome::answered);
            CHECK(env.target.connections == 2);
        }
    }
    SUBCASE("time out at their deadline")
    {
        env.send("a1", duration(50));
        CHECK(env.next().outcome == attempt_outcome::timed_out);
    }
    SUBCASE("close their connection when they are cancelled")
    {
        const auto call = env.send("a1");
        env.context.run_for(duration(50));
        env.pool.cancel(call);
        CHECK(env.next().outcome == attempt_outcome::abandoned);
        CHECK(env.pool.openConnections() == 0);
    }
    SUBCASE("leave no connection to a removed target")
    {
        env.target.replies = { { good_reply } };
        env.send("a1");
        CHECK(env.next().outcome == attempt_outcome::answered);
        CHECK(env.pool.openConnections() == 1);
        env.known->removed = true;
        env.pool.reconcile();
        env.context.run_for(duration(50));
        CHECK(env.pool.openConnections() == 0);
    }
    SUBCASE("have not run when the target is unreachable")
    {
        env.known->entry.address = { "127.0.0.1", 1 };
        env.send("a1");
        CHECK(env.next().outcome == attempt_outcome::unreachable);
    }
}

// Guards against a late copy of a refusal being taken for the answer when the request is sent
// again: a request that ran would count as not run.
TEST_CASE("A target repeats a refusal late, and the refused request is sent to it again")
{
    fixture env;
    const scripted_reply repeatedRefusal { refusal, false, false, refusal };

    SUBCASE("at once, and the copy is not taken for the answer")
    {
        env.target.replies = { repeatedRefusal, { good_reply } };
        const auto first = env.send("a1");
        CHECK(env.next().outcome == attempt_outcome::refused);
        env.send(first->request);
        CHECK(env.next().outcome == attempt_outcome::answered);
        CHECK(env.target.connections == 2);
    }
    SUBCASE("after another request, nor is then")
    {
        env.target.replies = { { refusal } };
        const auto first = env.send("a1");
        CHECK(env.next().outcome == attempt_outcome::refused);
        env.target.replies = { { good_reply, false, false, refusal } };
        env.send("a1");
        CHECK(env.next().outcome == attempt_outcome::answered);
        CHECK(env.target.connections == 1);
        env.target.replies = { { good_reply } };
        env.send(first->request);
        CHECK(env.next().outcome == attempt_outcome::answered);
        CHECK(env.target.connections == 2);
    }
    SUBCASE("while another connection is idle, which is used")
    {
        env.target.replies = { { refusal }, { good_reply } };
        const auto first = env.send("a1");
        const auto second = env.send("a1");
        const bool isFirstRefused = env.next().outcome == attempt_outcome::refused
            ? env.endedAttempt == first->attempt
            : env.endedAttempt != first->attempt;
        env.next();
        env.target.replies = { { good_reply } };
        env.send(isFirstRefused ? first->request : second->request);
        CHECK(env.next().outcome == attempt_outcome::answered);
        CHECK(env.target.connections == 2);
    }
    SUBCASE("on each connection that may be open, and one is opened anew")
    {
        env.target.replies = { repeatedRefusal, repeatedRefusal, { good_reply } };
        const auto first = env.send("a1");
        CHECK(env.next().outcome == attempt_outcome::refused);
        env.send(first->request);
        CHECK(env.next().outcome == attempt_outcome::refused);
        env.send(first->request);
        CHECK(env.next().outcome == attempt_outcome::answered);
        CHECK(env.target.connections == 3);
        CHECK(env.pool.openConnections() == 2);
    }
    SUBCASE("from the queue for the connection that refused it, which is opened anew")
    {
        env.target.replies = { { refusal },
                               { good_reply, false, false, refusal, duration(50) },
                               { good_reply, false, false, {}, duration(1000) },
                               { good_reply } };
        const auto first = env.send("a1");
        CHECK(env.next().outcome == attempt_outcome::refused);
        env.send("a1");
        env.send("a1");
        env.send(first->request);
        CHECK(env.events.value("leaf_calls_queued") == 1);
        CHECK(env.next().outcome == attempt_outcome::answered);
        CHECK(env.next().outcome == attempt_outcome::answered);
        CHECK(env.endedAttempt == 4);
        CHECK(env.target.connections == 3);
    }
}

TEST_CASE("A target asks in its replies for no more requests")
{
    fixture env;
    const std::string leaving
        = "HTTP/1.1 200 OK\r\nId: a1\r\nLeaving: 1\r\nContent-Length: 4\r\n\r\nbody";
    const std::string pause
        = "HTTP/1.1 503 Busy\r\nId: a1\r\nPause: 1\r\nContent-Length: 0\r\n\r\n";

    SUBCASE("because it is leaving")
    {
        env.target.replies = { { leaving } };
        env.send("a1");
        SUBCASE("and its reply still counts, but the connection closes")
        {
            const leaf_call_result result = env.next();
            CHECK(result.outcome == attempt_outcome::answered);
            CHECK(result.reply.body == "body");
            CHECK(!env.replicas.isEligible(*env.known));
            CHECK(env.pool.openConnections() == 0);
            SUBCASE("and a request planned before is not sent")
            {
                env.send("a1");
                CHECK(env.next().outcome == attempt_outcome::unreachable);
                CHECK(env.target.requests == 1);
            }
        }
        SUBCASE("and requests in its queue go elsewhere, while a sent one continues")
        {
            env.send("a1");
            env.send("a1");
            CHECK(env.next().outcome == attempt_outcome::answered);
            CHECK(env.next().outcome == attempt_outcome::unreachable);
            CHECK(env.target.requests == 2);
            CHECK(env.known->health.outstanding() == 1);
        }
        SUBCASE("also in a reply that is late and belongs to another request")
        {
            env.target.replies = { { "HTTP/1.1 200 OK\r\nId: a0\r\nLeaving: 1\r\n"
                                     "Content-Length: 0\r\n\r\n" } };
            CHECK(env.next().outcome == attempt_outcome::lost);
            CHECK(env.known->backpressure.isLeaving());
        }
        SUBCASE("also in a reply to a request that is no longer needed")
        {
            const auto late = env.send("a1");
            late->cancelled = true; // its caller has an answer from another target
            env.next();
            CHECK(env.known->backpressure.isLeaving());
        }
    }
    SUBCASE("for a while, because it is overloaded")
    {
        env.target.replies = { { pause } };
        env.send("a1");
        env.send("a1");
        env.send("a1");
        env.next();
        CHECK(env.known->backpressure.isBackingOff(millis_clock::now()));
        SUBCASE("and requests in its queue go elsewhere at once")
        {
            CHECK(env.next().outcome == attempt_outcome::unreachable);
            CHECK(env.target.requests == 2);
        }
        SUBCASE("and it is used again after that time")
        {
            env.next();
            env.context.run_for(backoff_time + backoff_time / 2);
            env.target.replies = { { good_reply } };
            env.send("a1");
            CHECK(env.next().outcome == attempt_outcome::answered);
        }
    }
}

// Guards against lost places of connections: an exception ended the task of a connection to a
// target, and its place and its call were never given back.
TEST_CASE("Requests that end the task of a connection by an exception")
{
    constexpr int requests = 6; // more than there are places
    fixture env;
    auto request = std::make_shared<caller_request>();
    request->method = "TRACE"; // with a body, which the HTTP library throws at
    request->target = "/";
    request->body = "x";
    for (int i = 0; i < requests; ++i) {
        env.send(request);
        CHECK(env.next().outcome == attempt_outcome::lost);
    }
    CHECK(env.pool.openConnections() == 0);
    CHECK(env.events.value("leaf_connection_exceptions") == requests);
    CHECK(env.events.value("task_exceptions") == 0);

    SUBCASE("cost no other request anything")
    {
        env.target.replies = { { good_reply } };
        env.send("a1");
        CHECK(env.next().outcome == attempt_outcome::answered);
    }
}
