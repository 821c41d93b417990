#include "gooseberrymoor/target/target_codec.h"

#include "gooseberrymoor/admission/leaf_message.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

TEST_CASE("A target answers a leaf request")
{
    leaf_request request;
    request.shard = "s1";
    request.snapshot = "v1";
    SUBCASE("from the requested snapshot")
    {
        const auto reply = decodeTargetReply(
            request,
            { 200, R"({"request_shard":"s1","snapshot":"v1","instance":"i","body":"b"})" });
        CHECK(reply.error == error_kind::none);
        CHECK(reply.outcome == verdict::completed);
        CHECK(reply.body == "b");
    }
    SUBCASE("from another snapshot, which is an error")
    {
        const auto reply = decodeTargetReply(
            request, { 200, R"({"request_shard":"s1","snapshot":"v2","body":"b"})" });
        CHECK(reply.error == error_kind::snapshot_unavailable);
        CHECK(reply.outcome == verdict::completed);
        CHECK(reply.body.empty());
    }
    SUBCASE("for another shard, so the answer is malformed")
    {
        const auto reply = decodeTargetReply(
            request, { 200, R"({"request_shard":"s2","snapshot":"v1","body":"b"})" });
        CHECK(reply.error == error_kind::malformed_answer);
    }
    SUBCASE("that it shed the request, which has not run")
    {
        const auto reply = decodeTargetReply(request, { 503, "{}" });
        CHECK(reply.result == leaf_result::shed);
        CHECK(reply.outcome == verdict::not_run);
    }
    SUBCASE("that it is draining, so the request has not run")
    {
        const auto reply
            = decodeTargetReply(request, { 503, R"({"error":"draining","draining":true})" });
        CHECK(reply.result == leaf_result::drained);
        CHECK(reply.error == error_kind::draining);
        CHECK(reply.outcome == verdict::not_run);
        CHECK(reply.status.draining);
    }
    SUBCASE("that the request was cancelled, so it is not running but may have run")
    {
        const auto reply = decodeTargetReply(request, { 499, "{}" });
        CHECK(reply.result == leaf_result::cancelled);
        CHECK(reply.outcome == verdict::may_have_run);
    }
    SUBCASE("and reports whether it is cold")
    {
        CHECK(decodeTargetReply(request, { 500, R"({"cold":true})" }).status.cold == true);
        CHECK(decodeTargetReply(request, { 500, R"({"cold":false})" }).status.cold == false);
        CHECK(!decodeTargetReply(request, { 500, "{}" }).status.cold);
    }
    SUBCASE("with a failure, so the request may have run")
    {
        CHECK(decodeTargetReply(request, { 500, "{}" }).outcome == verdict::may_have_run);
        CHECK(decodeTargetReply(request, { 200, "nonsense" }).outcome == verdict::may_have_run);
    }
}

TEST_CASE("A cancellation is confirmed only by an explicit reply")
{
    CHECK(isCancellationConfirmed({ 200, R"({"stopped":true})" }));
    CHECK(!isCancellationConfirmed({ 200, "{}" }));
    CHECK(!isCancellationConfirmed({ 404, R"({"stopped":true})" }));
}

TEST_CASE("A target reports its health")
{
    const auto status
        = decodeTargetHealth({ 200, R"({"instance":"i","cold":true,"draining":false})" });
    REQUIRE(status);
    CHECK(status->instance == "i");
    CHECK(status->cold == true);
    CHECK(!status->draining);
    CHECK(!decodeTargetHealth({ 404, "{}" }));
    CHECK(!decodeTargetHealth({ 200, "nonsense" }));
}
