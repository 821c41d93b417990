#include "gooseberrymoor/peer/frame.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/peer/peer_channel.h"
#include "gooseberrymoor/peer/peer_network.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace gooseberrymoor;

namespace {

const endpoint first_address { "127.0.0.1", 17101 };
const endpoint second_address { "127.0.0.1", 17102 };

class recording_handler : public frame_handler
{
public:
    bool onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message) override
    {
        from = channel->peerName();
        payload = message.payload;
        return true;
    }
    void onChannelClosed(const std::shared_ptr<peer_channel> &) override { ++closed; }

    std::string from;
    std::vector<std::uint8_t> payload;
    int closed = 0;
};

// Runs `context` until `done` or for two seconds at most.
template <typename Condition> bool runUntil(asio::io_context &context, Condition done)
{
    const time_point limit = millis_clock::now() + duration(2000);
    while (!done() && millis_clock::now() < limit)
        context.run_one_for(duration(20));
    return done();
}

} // namespace

TEST_CASE("A message is framed")
{
    SUBCASE("and its header tells length and kind")
    {
        CHECK(rc::check([](const std::vector<std::uint8_t> &payload) {
            std::vector<std::uint8_t> bytes;
            appendFrame(bytes, message_kind::heartbeat, payload);
            const auto header = decodeHeader(std::span<const std::uint8_t, frame_header_bytes>(
                bytes.data(), frame_header_bytes));
            RC_ASSERT(header.fault == frame_error::none);
            RC_ASSERT(header.kind == message_kind::heartbeat);
            RC_ASSERT(header.length == payload.size());
        }));
    }
    SUBCASE("and a length beyond the limit is a fault")
    {
        const std::array<std::uint8_t, frame_header_bytes> bytes { 0xff, 0, 0, 0, 0, 1, 0, 0 };
        CHECK(decodeHeader(bytes).fault == frame_error::too_long);
    }
    SUBCASE("and an unknown kind is a fault")
    {
        const std::array<std::uint8_t, frame_header_bytes> bytes { 0, 0, 0, 0, 9, 9, 0, 0 };
        CHECK(decodeHeader(bytes).fault == frame_error::unknown_kind);
    }
}

TEST_CASE("Two nodes are linked")
{
    asio::io_context context;
    counters events;
    recording_handler handler;
    peer_network first(context.get_executor(), "n1", "main", events);
    peer_network second(context.get_executor(), "n2", "main", events);
    second.setHandler(message_kind::heartbeat, handler);
    REQUIRE(second.start(second_address));
    first.setPeers({ { "n2", second_address } });
    REQUIRE(runUntil(context, [&] { return first.channelTo("n2") != nullptr; }));

    SUBCASE("and a message arrives whole, with its sender's name")
    {
        const std::vector<std::uint8_t> payload { 1, 2, 3 };
        const auto channel = first.channelTo("n2");
        const std::uint64_t position = channel->send(message_kind::heartbeat, payload);
        CHECK(!channel->mayHaveBeenSent(position));
        CHECK(runUntil(context, [&] { return handler.payload == payload; }));
        CHECK(channel->mayHaveBeenSent(position));
        CHECK(handler.from == "n1");
    }
    SUBCASE("and a link that is no more wanted is closed")
    {
        const auto channel = first.channelTo("n2");
        first.setPeers({});
        CHECK(!channel->isOpen());
        CHECK(channel->send(message_kind::heartbeat, {}) == 0);
        CHECK(runUntil(context, [&] { return handler.closed == 1; }));
    }
    SUBCASE("and bytes that are no frames close only the link they came on")
    {
        asio::ip::tcp::socket noise(context);
        noise.connect({ asio::ip::make_address(second_address.address), second_address.port });
        asio::write(noise, asio::buffer(std::string(64, '\xff')));
        CHECK(runUntil(context, [&] { return events.value("peer_frames_malformed") == 1; }));
        CHECK(first.channelTo("n2")->isOpen());
    }
    SUBCASE("and a frame cut short is counted as truncated")
    {
        asio::ip::tcp::socket cut(context);
        cut.connect({ asio::ip::make_address(second_address.address), second_address.port });
        asio::write(cut, asio::buffer(std::string("\0\0\0\x09\0\x01\0\0abc", 11)));
        cut.close();
        CHECK(runUntil(context, [&] { return events.value("peer_frames_truncated") == 1; }));
    }
    first.stop();
    second.stop();
    context.run_for(duration(200));
}
