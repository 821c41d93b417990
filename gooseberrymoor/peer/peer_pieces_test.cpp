#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/peer/frame.h"
#include "gooseberrymoor/peer/frame_handler.h"
#include "gooseberrymoor/peer/hello_generated.h"
#include "gooseberrymoor/peer/peer_channel.h"
#include "gooseberrymoor/peer/peer_network.h"
#include "gooseberrymoor/peer/wire.h"
#include "testing/scripted_peer.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace gooseberrymoor;

namespace {

const endpoint node_address { "127.0.0.1", 17103 };

class recording_handler : public frame_handler
{
public:
    bool onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message) override
    {
        received.push_back(channel->peerName() + ":"
                           + std::string(message.payload.begin(), message.payload.end()));
        return true;
    }
    void onChannelClosed(const std::shared_ptr<peer_channel> &) override { ++closedChannels; }

    std::vector<std::string> received; // "sender:payload"
    int closedChannels = 0;
};

std::string helloFrom(const std::string &name)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::CreatehelloDirect(builder, name.c_str(), "main"));
    std::vector<std::uint8_t> bytes;
    appendFrame(bytes, message_kind::hello, bytesOf(builder));
    return { bytes.begin(), bytes.end() };
}

std::string heartbeat(const std::string &payload)
{
    std::vector<std::uint8_t> bytes;
    appendFrame(bytes, message_kind::heartbeat,
                { reinterpret_cast<const std::uint8_t *>(payload.data()), payload.size() });
    return { bytes.begin(), bytes.end() };
}

// A node that accepts connections of peers.
struct listening_node
{
    listening_node()
    {
        network.setHandler(message_kind::heartbeat, handler);
        REQUIRE(network.start(node_address));
    }

    // Sends `message` on a new connection and ends that.
    void receive(const pieces &message, bool byReset)
    {
        const int closedBefore = handler.closedChannels;
        scripted_peer peer = scripted_peer::connect(context, node_address);
        peer.send(message);
        if (byReset)
            peer.reset();
        else
            peer.close();
        REQUIRE(scripted_peer::runUntil(
            context, [&] { return handler.closedChannels == closedBefore + 1; }));
    }

    asio::io_context context;
    counters events;
    recording_handler handler;
    peer_network network { context.get_executor(), "n1", "main", events };
};

} // namespace

TEST_CASE("A node receives a peer's frames")
{
    const std::string hello = helloFrom("n2");
    const std::string message = hello + heartbeat("") + heartbeat("xy");
    const std::vector<std::string> whole { "n2:", "n2:xy" };
    listening_node node;

    SUBCASE("in pieces: each is handled as if it had come whole")
    {
        for (const pieces &cut : allCuts(message)) {
            node.handler.received.clear();
            node.receive(cut, false);
            REQUIRE(node.handler.received == whole);
        }
    }
    SUBCASE("broken off: those that are whole are handled, and the process goes on")
    {
        const std::size_t firstEnd = hello.size() + frame_header_bytes;
        for (std::size_t size = 0; size < message.size(); ++size) {
            const std::string sent = message.substr(0, size);
            const std::size_t wholeFrames = size >= firstEnd ? 1 : 0;
            CAPTURE(size);
            for (const bool byReset : { false, true }) {
                node.handler.received.clear();
                node.receive(byteByByte(sent), byReset);
                CHECK(node.handler.received.size() == wholeFrames);
            }
        }
        CHECK(node.events.value("task_exceptions") == 0);
        CHECK(node.events.value("peer_frames_malformed") == 0);
    }
    node.network.stop();
    node.context.restart();
    node.context.run_for(duration(50));
}
