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
        sender = channel->peerName();
        payload = message.payload;
        return true;
    }
    void onChannelClosed(const std::shared_ptr<peer_channel> &) override { ++closedChannels; }

    std::string sender;
    std::vector<std::uint8_t> payload;
    int closedChannels = 0;
};

// Runs `context` until `done` returns true, for at most two seconds. Returns the result of `done`.
template <typename Condition> bool runUntil(asio::io_context &context, Condition done)
{
    const time_point deadline = millis_clock::now() + duration(2000);
    while (!done() && millis_clock::now() < deadline)
        context.run_one_for(duration(20));
    return done();
}

} // namespace

TEST_CASE("A message is encoded as a frame")
{
    SUBCASE("and its header decodes to the length and kind")
    {
        CHECK(rc::check([](const std::vector<std::uint8_t> &payload) {
            std::vector<std::uint8_t> bytes;
            appendFrame(bytes, message_kind::heartbeat, payload);
            const auto header = decodeHeader(std::span<const std::uint8_t, frame_header_bytes>(
                bytes.data(), frame_header_bytes));
            RC_ASSERT(header.error == frame_error::none);
            RC_ASSERT(header.kind == message_kind::heartbeat);
            RC_ASSERT(header.length == payload.size());
        }));
    }
    SUBCASE("and a length over the limit is an error")
    {
        const std::array<std::uint8_t, frame_header_bytes> bytes { 0xff, 0, 0, 0, 0, 1, 0, 0 };
        CHECK(decodeHeader(bytes).error == frame_error::too_long);
    }
    SUBCASE("and an unknown kind is an error")
    {
        const std::array<std::uint8_t, frame_header_bytes> bytes { 0, 0, 0, 0, 9, 9, 0, 0 };
        CHECK(decodeHeader(bytes).error == frame_error::unknown_kind);
    }
}

TEST_CASE("Two nodes are connected")
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

    SUBCASE("and a message arrives complete, with the name of its sender")
    {
        const std::vector<std::uint8_t> payload { 1, 2, 3 };
        const auto channel = first.channelTo("n2");
        const std::uint64_t position = channel->send(message_kind::heartbeat, payload);
        CHECK(!channel->mayHaveBeenSent(position));
        CHECK(runUntil(context, [&] { return handler.payload == payload; }));
        CHECK(channel->mayHaveBeenSent(position));
        CHECK(handler.sender == "n1");
    }
    SUBCASE("and the connection to a removed peer is closed")
    {
        const auto channel = first.channelTo("n2");
        first.setPeers({});
        CHECK(!channel->isOpen());
        CHECK(channel->send(message_kind::heartbeat, {}) == 0);
        CHECK(runUntil(context, [&] { return handler.closedChannels == 1; }));
    }
    SUBCASE("and malformed bytes on one connection do not close another")
    {
        asio::ip::tcp::socket malformed(context);
        malformed.connect({ asio::ip::make_address(second_address.address), second_address.port });
        asio::write(malformed, asio::buffer(std::string(64, '\xff')));
        CHECK(runUntil(context, [&] { return events.value("peer_frames_malformed") == 1; }));
        CHECK(first.channelTo("n2")->isOpen());
    }
    SUBCASE("and an incomplete frame is counted as truncated")
    {
        asio::ip::tcp::socket truncated(context);
        truncated.connect({ asio::ip::make_address(second_address.address), second_address.port });
        asio::write(truncated, asio::buffer(std::string("\0\0\0\x09\0\x01\0\0abc", 11)));
        truncated.close();
        CHECK(runUntil(context, [&] { return events.value("peer_frames_truncated") == 1; }));
    }
    first.stop();
    second.stop();
    context.run_for(duration(200));
}
