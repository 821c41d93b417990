#include "gooseberrymoor/forward/leaf_pool.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/forward/caller_request.h"
#include "gooseberrymoor/forward/leaf_completion_queue.h"
#include "gooseberrymoor/forward/leaf_protocol.h"
#include "gooseberrymoor/http/http_headers.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/replica/replica_subset.h"
#include "gooseberrymoor/routing/routing_configuration.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <deque>

using namespace gooseberrymoor;
using tcp = asio::ip::tcp;

namespace {

constexpr duration longest_run { 10'000 };
const std::string good_reply = "HTTP/1.1 200 OK\r\nId: a1\r\nContent-Length: 4\r\n\r\nbody";

// Echoes the request's id in the field "Id".
class plain_protocol : public leaf_protocol
{
public:
    http_request encode(const caller_request &request, const replica &, duration) const override
    {
        http_request message(request.method, request.target);
        message.headers.emplace_back("Id", request.attemptId);
        return message;
    }
    leaf_call_result decode(http_reply reply, const std::string &attemptId) const override
    {
        leaf_call_result answer;
        answer.isMismatched = headerValue(reply.headers, "Id") != attemptId;
        if (!answer.isMismatched)
            answer.ending = attempt_outcome::answered;
        answer.reply = std::move(reply);
        return answer;
    }
};

// What a scripted target does with one request.
struct scripted_reply
{
    std::string bytes;
    bool close = false; // in order, after the bytes
    bool reset = false;
};

// A target that answers the n-th request, over all its connections, with the n-th reply.
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
            startTask(m_acceptor.get_executor(), events, "serve", serve(std::move(socket)));
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
            ++requests;
            if (replies.empty())
                continue; // stays silent
            const scripted_reply reply = replies.front();
            replies.pop_front();
            co_await asio::async_write(socket, asio::buffer(reply.bytes), as_result);
            boost::system::error_code ignored;
            if (reply.reset)
                socket.set_option(asio::socket_base::linger(true, 0), ignored);
            if (reply.reset)
                socket.close(ignored); // the destructor would end it in order
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
        subset.configure(configuration); // of four connections, two are used
    }

    std::shared_ptr<leaf_call> send(const std::string &attemptId, duration time = duration(5000))
    {
        auto request = std::make_shared<caller_request>();
        request->method = "GET";
        request->target = "/";
        request->attemptId = attemptId;
        auto call = std::make_shared<leaf_call>();
        call->request = request;
        call->target = known;
        call->inbox = inbox;
        call->attempt = ++lastAttempt;
        call->deadline = millis_clock::now() + time;
        pool.send(call);
        return call;
    }

    leaf_call_result next()
    {
        const time_point limit = millis_clock::now() + longest_run;
        while (inbox->endings.empty() && millis_clock::now() < limit)
            context.run_one_for(duration(20));
        REQUIRE(!inbox->endings.empty());
        leaf_call_result answer = std::move(inbox->endings.front().answer);
        inbox->endings.pop_front();
        context.run_for(duration(20)); // the connection settles
        return answer;
    }

    asio::io_context context { 1 };
    counters events;
    scripted_target target { context, events };
    plain_protocol protocol;
    replica_set replicas;
    replica_subset subset { replicas, "node-1", "a" };
    leaf_pool pool { context.get_executor(), protocol, subset, events };
    std::shared_ptr<known_replica> known = std::make_shared<known_replica>();
    std::shared_ptr<leaf_completion_queue> inbox
        = std::make_shared<leaf_completion_queue>(context.get_executor());
    std::uint64_t lastAttempt = 0;
};

} // namespace

TEST_CASE("Requests to a target")
{
    fixture site;

    SUBCASE("use one connection after the other")
    {
        site.target.replies = { { good_reply }, { good_reply } };
        site.send("a1");
        CHECK(site.next().ending == attempt_outcome::answered);
        site.send("a1");
        const leaf_call_result answer = site.next();
        CHECK(answer.ending == attempt_outcome::answered);
        CHECK(answer.reply.body == "body");
        CHECK(site.target.connections == 1);
    }
    SUBCASE("wait when no connection is free and no more may be opened")
    {
        for (int i = 0; i < 3; ++i)
            site.send("a1");
        site.context.run_for(duration(100));
        CHECK(site.target.connections == 2);
        CHECK(site.target.requests == 2);
        CHECK(site.known->health.outstanding() == 3);
    }
    SUBCASE("that wait are not sent any more when nobody wants them")
    {
        site.send("a1");
        site.send("a1");
        const auto waiting = site.send("a1");
        site.pool.withdraw(waiting);
        CHECK(site.next().ending == attempt_outcome::abandoned);
        CHECK(site.target.requests == 2);
        CHECK(site.known->health.outstanding() == 2);
    }
    SUBCASE("that wait go elsewhere when their target may not receive any more")
    {
        site.send("a1");
        site.send("a1");
        site.send("a1");
        site.context.run_for(duration(50));
        site.known->entry.draining = true;
        site.pool.reconcile(site.replicas);
        CHECK(site.next().ending == attempt_outcome::unreachable);
        CHECK(site.target.requests == 2);
        CHECK(site.known->health.outstanding() == 2);
    }
    SUBCASE("that wait go elsewhere when their target can't be reached")
    {
        site.known->entry.address = { "127.0.0.1", 1 };
        for (int i = 0; i < 5; ++i)
            site.send("a1");
        for (int i = 0; i < 5; ++i)
            CHECK(site.next().ending == attempt_outcome::unreachable);
        CHECK(site.events.value("leaf_connects_failed") <= 2);
    }
    SUBCASE("that wait are sent in the order of their urgency")
    {
        const auto first = site.send("a1");
        site.send("a1");
        site.send("a2");
        auto urgent = site.send("a3");
        urgent->priority = -1;
        site.context.run_for(duration(50));
        site.pool.abandon(first);
        site.target.replies = { { "HTTP/1.1 200 OK\r\nId: a3\r\nContent-Length: 0\r\n\r\n" } };
        CHECK(site.next().ending == attempt_outcome::abandoned);
        CHECK(site.next().ending == attempt_outcome::answered);
    }
    SUBCASE("are not answered with a reply that is cut")
    {
        site.target.replies
            = { { "HTTP/1.1 200 OK\r\nId: a1\r\nContent-Length: 9\r\n\r\nbody", true } };
        site.send("a1");
        CHECK(site.next().ending == attempt_outcome::lost);
    }
    SUBCASE("are not answered with a reply without a length that ends in a reset")
    {
        site.target.replies = { { "HTTP/1.1 200 OK\r\nId: a1\r\n\r\nbody", false, true } };
        site.send("a1");
        CHECK(site.next().ending == attempt_outcome::lost);
        SUBCASE("but with one that ends in order")
        {
            site.target.replies = { { "HTTP/1.1 200 OK\r\nId: a1\r\n\r\nbody", true } };
            site.send("a1");
            const leaf_call_result answer = site.next();
            CHECK(answer.ending == attempt_outcome::answered);
            CHECK(answer.reply.body == "body");
        }
    }
    SUBCASE("are not answered with what is no reply")
    {
        site.target.replies = { { "\x16\x03 nonsense\r\n\r\n" } };
        site.send("a1");
        CHECK(site.next().ending == attempt_outcome::lost);
    }
    SUBCASE("are not answered with the second reply to another one")
    {
        site.target.replies = { { good_reply + good_reply }, { good_reply } };
        site.send("a1");
        CHECK(site.next().ending == attempt_outcome::answered);
        site.target.replies = { { "HTTP/1.1 200 OK\r\nId: a2\r\nContent-Length: 0\r\n\r\n" } };
        site.send("a2");
        const leaf_call_result answer = site.next();
        CHECK(answer.ending == attempt_outcome::answered);
        CHECK(answer.reply.body.empty());
        CHECK(site.target.connections == 2);
    }
    SUBCASE("are not answered with a reply to another one that comes late")
    {
        site.target.replies = { { good_reply } };
        site.send("a2");
        const leaf_call_result answer = site.next();
        CHECK(answer.ending == attempt_outcome::lost);
        CHECK(answer.isMismatched);
        SUBCASE("and the next one has a connection of its own")
        {
            site.target.replies = { { good_reply } };
            site.send("a1");
            CHECK(site.next().ending == attempt_outcome::answered);
            CHECK(site.target.connections == 2);
        }
    }
    SUBCASE("end when their time is over")
    {
        site.send("a1", duration(50));
        CHECK(site.next().ending == attempt_outcome::timed_out);
    }
    SUBCASE("end with their connection when nobody wants them")
    {
        const auto call = site.send("a1");
        site.context.run_for(duration(50));
        site.pool.abandon(call);
        CHECK(site.next().ending == attempt_outcome::abandoned);
        CHECK(site.pool.openConnections() == 0);
    }
    SUBCASE("leave no connection to a target that is gone")
    {
        site.target.replies = { { good_reply } };
        site.send("a1");
        CHECK(site.next().ending == attempt_outcome::answered);
        CHECK(site.pool.openConnections() == 1);
        site.known->removed = true;
        site.pool.reconcile(replica_set());
        site.context.run_for(duration(50));
        CHECK(site.pool.openConnections() == 0);
    }
    SUBCASE("have surely not run when there is no target")
    {
        site.known->entry.address = { "127.0.0.1", 1 };
        site.send("a1");
        CHECK(site.next().ending == attempt_outcome::unreachable);
    }
}
