#include "gooseberrymoor/admission/leaf_server.h"

#include "gooseberrymoor/admission/leaf_message.h"
#include "gooseberrymoor/admission/leaf_message_generated.h"
#include "gooseberrymoor/admission/leaf_reply_sink.h"
#include "gooseberrymoor/admission/leaf_service.h"
#include "gooseberrymoor/peer/peer_channel.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <map>
#include <vector>

using namespace gooseberrymoor;

namespace {

class recording_leaf_service : public leaf_service
{
public:
    void submit(const std::string &, leaf_request request,
                std::shared_ptr<leaf_reply_sink> sink) override
    {
        sinks[request.id] = std::move(sink);
    }
    void cancel(const std::string &, std::uint64_t id) override { cancelled.push_back(id); }

    std::map<std::uint64_t, std::shared_ptr<leaf_reply_sink>> sinks;
    std::vector<std::uint64_t> cancelled;
};

frame requestFrame(std::uint64_t id)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Createleaf_requestDirect(builder, id, "standings", "t1", "a", "s1", true,
                                                  1000, "body"));
    frame message;
    message.kind = message_kind::leaf_request;
    message.payload.assign(builder.GetBufferPointer(),
                           builder.GetBufferPointer() + builder.GetSize());
    return message;
}

} // namespace

TEST_CASE("A peer sends leaf requests over two channels")
{
    asio::io_context context;
    recording_leaf_service service;
    leaf_server server(service);
    const auto first = std::make_shared<peer_channel>(context.get_executor());
    const auto second = std::make_shared<peer_channel>(context.get_executor());
    REQUIRE(server.onFrame(first, requestFrame(1)));
    REQUIRE(server.onFrame(first, requestFrame(2)));
    REQUIRE(server.onFrame(second, requestFrame(3)));
    leaf_response answer;
    answer.id = 1;
    service.sinks.at(1)->reply(answer);

    SUBCASE("and one closes, so its unanswered requests are cancelled")
    {
        server.onChannelClosed(first);
        CHECK(service.cancelled == std::vector<std::uint64_t> { 2 });

        SUBCASE("only once, and a late answer is dropped")
        {
            answer.id = 2;
            service.sinks.at(2)->reply(answer);
            server.onChannelClosed(first);
            CHECK(service.cancelled.size() == 1);
        }
    }
    SUBCASE("and sends a malformed payload, which is rejected")
    {
        frame malformed;
        malformed.kind = message_kind::leaf_request;
        malformed.payload = { 1, 2, 3 };
        CHECK(!server.onFrame(first, malformed));
    }
}
