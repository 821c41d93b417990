#include "gooseberrymoor/query/leaf_client.h"

#include "gooseberrymoor/admission/leaf_codec.h"
#include "gooseberrymoor/admission/leaf_message_generated.h"
#include "gooseberrymoor/admission/leaf_reply_sink.h"
#include "gooseberrymoor/admission/leaf_service.h"
#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/manual_clock.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/peer/peer_channel.h"
#include "gooseberrymoor/peer/peer_network.h"
#include "gooseberrymoor/peer/wire.h"
#include "gooseberrymoor/query/leaf_response_queue.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <random>
#include <set>

using namespace gooseberrymoor;

namespace {

using tcp = asio::ip::tcp;

const endpoint owner_address { "127.0.0.1", 22010 };
constexpr duration step { 20 };
constexpr int max_steps = 400;

std::vector<std::uint8_t> encodeAnswer(const leaf_request &request)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Createleaf_response(
        builder, request.id, static_cast<std::uint8_t>(error_kind::none),
        static_cast<std::uint8_t>(verdict::completed), builder.CreateString(request.snapshot),
        builder.CreateString(request.body + "!"), 0));
    std::vector<std::uint8_t> bytes;
    appendFrame(bytes, message_kind::leaf_response, bytesOf(builder));
    return bytes;
}

// An owner whose responses are late, duplicated, reordered, truncated or sent on the wrong
// connection, and whose connections end between frames or within one. Its behavior follows a seed.
class faulty_owner
{
public:
    faulty_owner(asio::any_io_executor executor, counters &events, std::uint64_t seed)
        : m_executor(executor), m_events(events), m_acceptor(executor), m_random(seed)
    {
        const tcp::endpoint local(asio::ip::make_address(owner_address.address),
                                  owner_address.port);
        m_acceptor.open(local.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(local);
        m_acceptor.listen();
    }

    asio::awaitable<void> acceptLoop()
    {
        while (m_acceptor.is_open()) {
            auto [error, socket] = co_await m_acceptor.async_accept(as_result);
            if (error)
                co_return;
            startTask(m_executor, m_events, "owner", serve(std::move(socket)));
        }
    }

    void stop() { m_acceptor.close(); }

    // Returns whether the request with `body` was received.
    bool hasReceived(const std::string &body) const { return m_received.contains(body); }

private:
    bool chance(unsigned percent) { return m_random() % 100 < percent; }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::vector<std::vector<std::uint8_t>> replies = std::exchange(m_leftoverReplies, {});
        while (true) {
            const auto message = co_await readFrame(socket);
            if (!message || chance(10))
                break;
            if (message->kind == message_kind::leaf_request)
                receiveRequest(*message, replies);
            if (chance(60) && !co_await writeReplies(socket, replies))
                break;
        }
        // Sends the remaining replies on the next connection, where the client must drop them.
        m_leftoverReplies = std::move(replies);
    }

    asio::awaitable<std::optional<frame>> readFrame(tcp::socket &socket)
    {
        std::array<std::uint8_t, frame_header_bytes> bytes {};
        const auto [headerError, headerSize]
            = co_await asio::async_read(socket, asio::buffer(bytes), as_result);
        if (headerError)
            co_return std::nullopt;
        const frame_header header = decodeHeader(bytes);
        frame message;
        message.kind = header.kind;
        message.payload.resize(header.length);
        const auto [bodyError, bodySize]
            = co_await asio::async_read(socket, asio::buffer(message.payload), as_result);
        if (bodyError)
            co_return std::nullopt;
        co_return message;
    }

    void receiveRequest(const frame &message, std::vector<std::vector<std::uint8_t>> &replies)
    {
        const auto request = decodeLeafRequest(message.payload);
        m_received.insert(request->body);
        const auto position
            = replies.begin() + static_cast<std::ptrdiff_t>(m_random() % (replies.size() + 1));
        replies.insert(position, encodeAnswer(*request));
        if (chance(20))
            replies.push_back(encodeAnswer(*request));
    }

    asio::awaitable<bool> writeReplies(tcp::socket &socket,
                                       std::vector<std::vector<std::uint8_t>> &replies)
    {
        while (!replies.empty() && chance(80)) {
            std::vector<std::uint8_t> bytes = std::move(replies.front());
            replies.erase(replies.begin());
            const bool truncated = chance(10);
            if (truncated)
                bytes.resize(m_random() % bytes.size());
            const auto [error, written]
                = co_await asio::async_write(socket, asio::buffer(bytes), as_result);
            if (error || truncated)
                co_return false;
        }
        co_return true;
    }

    asio::any_io_executor m_executor;
    counters &m_events;
    tcp::acceptor m_acceptor;
    std::mt19937_64 m_random;
    std::vector<std::vector<std::uint8_t>> m_leftoverReplies;
    std::set<std::string> m_received; // bodies of completely received requests
};

// Owner in this process that replies immediately, later, or both.
class faulty_local_service : public leaf_service
{
public:
    explicit faulty_local_service(std::uint64_t seed) : m_random(seed) { }

    void submit(const std::string &, leaf_request request,
                std::shared_ptr<leaf_reply_sink> sink) override
    {
        leaf_response response;
        response.id = request.id;
        response.outcome = verdict::completed;
        response.snapshot = request.snapshot;
        response.body = request.body + "!";
        if (m_random() % 2 == 0)
            sink->reply(response);
        if (m_random() % 2 == 0)
            m_delayedReplies.emplace_back(sink, response);
        else
            sink->reply(response);
    }
    void cancel(const std::string &, std::uint64_t) override { }

    void sendDelayedReplies()
    {
        for (auto &[sink, response] : m_delayedReplies)
            sink->reply(response);
        m_delayedReplies.clear();
    }

private:
    std::mt19937_64 m_random;
    std::vector<std::pair<std::shared_ptr<leaf_reply_sink>, leaf_response>> m_delayedReplies;
};

// Sends requests of several queries through one client over faulty connections, in virtual time.
class client_simulation
{
public:
    explicit client_simulation(std::uint64_t seed)
        : m_random(seed), m_owner(m_context.get_executor(), m_events, seed + 1),
          m_network(m_context.get_executor(), "n1", "main", m_events), m_local(seed + 2),
          m_leafClient("n1", m_network, m_local, m_events)
    {
        m_network.setHandler(message_kind::leaf_response, m_leafClient);
    }

    void run(int requests)
    {
        startTask(m_context.get_executor(), m_events, "owner_accept", m_owner.acceptLoop());
        m_network.setPeers({ { "n2", owner_address } });
        for (int i = 0; i < requests; ++i) {
            if (m_random() % 4 == 0)
                advanceSteps(1 + static_cast<int>(m_random() % 4));
            send(i);
        }
        advanceSteps(10);
        m_local.sendDelayedReplies();
        m_owner.stop();
        m_network.stop();
        for (int i = 0; i < max_steps && m_leafClient.outstanding() > 0; ++i)
            advanceSteps(1);
    }

    void check()
    {
        RC_ASSERT(m_leafClient.outstanding() == 0U);
        for (std::size_t i = 0; i < m_queues.size(); ++i) {
            const auto entry = m_queues[i]->pop();
            const std::string body = "q" + std::to_string(i);
            if (m_cancelled.contains(i)) {
                RC_ASSERT(!m_queues[i]->pop());
                continue;
            }
            RC_ASSERT(entry.has_value());
            RC_ASSERT(entry->first == static_cast<int>(i) + 1);
            RC_ASSERT(!m_queues[i]->pop());
            const leaf_response &response = entry->second;
            if (response.error == error_kind::none)
                RC_ASSERT(response.body == body + "!");
            if (response.outcome == verdict::not_run)
                RC_ASSERT(!m_owner.hasReceived(body));
        }
    }

    const counters &events() const { return m_events; }

private:
    void advanceSteps(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            while (m_context.poll() > 0) { }
            m_clock.advance(step);
        }
    }

    void send(int index)
    {
        outgoing_leaf_request outgoing;
        outgoing.attempt = index + 1;
        outgoing.owner = m_random() % 5 == 0 ? "n1" : "n2";
        outgoing.request.snapshot = "s";
        outgoing.request.body = "q" + std::to_string(index);
        m_queues.push_back(std::make_shared<leaf_response_queue>(m_context.get_executor()));
        const std::uint64_t id = m_leafClient.send(std::move(outgoing), m_queues.back());
        if (m_random() % 10 == 0) {
            m_leafClient.cancel(id);
            m_cancelled.insert(static_cast<std::size_t>(index));
        }
    }

    manual_clock m_clock;
    asio::io_context m_context;
    counters m_events;
    std::mt19937_64 m_random;
    faulty_owner m_owner;
    peer_network m_network;
    faulty_local_service m_local;
    leaf_client m_leafClient;
    std::vector<std::shared_ptr<leaf_response_queue>> m_queues;
    std::set<std::size_t> m_cancelled;
};

} // namespace

TEST_CASE("Over links that fail at any moment each request gets exactly its own answer")
{
    std::map<std::string, std::uint64_t> counts;
    CHECK(rc::check([&counts] {
        client_simulation simulation(*rc::gen::arbitrary<std::uint64_t>());
        simulation.run(*rc::gen::inRange(1, 60));
        simulation.check();
        for (const auto &[name, count] : simulation.events().all())
            counts[name] += count;
    }));
    SUBCASE("and the intended faults occurred")
    {
        CHECK(counts["leaf_answers_dropped"] > 0);
        CHECK(counts["peer_frames_truncated"] > 0);
        CHECK(counts["peer_links_opened"] > 1);
    }
}
