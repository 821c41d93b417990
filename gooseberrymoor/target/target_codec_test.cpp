#include "gooseberrymoor/target/target_codec.h"

#include "gooseberrymoor/admission/leaf_message.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

TEST_CASE("A target answers a leaf request")
{
    leaf_request request;
    request.shard = "s1";
    request.snapshot = "v1";
    SUBCASE("from the snapshot that was asked")
    {
        const auto reply = decodeTargetReply(
            request,
            { 200, R"({"request_shard":"s1","snapshot":"v1","instance":"i","body":"b"})" });
        CHECK(reply.error == error_kind::none);
        CHECK(reply.outcome == verdict::completed);
        CHECK(reply.body == "b");
    }
    SUBCASE("from another snapshot, which is no answer")
    {
        const auto reply = decodeTargetReply(
            request, { 200, R"({"request_shard":"s1","snapshot":"v2","body":"b"})" });
        CHECK(reply.error == error_kind::snapshot_unavailable);
        CHECK(reply.outcome == verdict::completed);
        CHECK(reply.body.empty());
    }
    SUBCASE("with another shard's answer, which is malformed")
    {
        const auto reply = decodeTargetReply(
            request, { 200, R"({"request_shard":"s2","snapshot":"v1","body":"b"})" });
        CHECK(reply.error == error_kind::malformed_answer);
    }
    SUBCASE("that it sheds, so it has not run")
    {
        const auto reply = decodeTargetReply(request, { 503, "{}" });
        CHECK(reply.result == leaf_result::shed);
        CHECK(reply.outcome == verdict::not_run);
    }
    SUBCASE("with a failure, after which it may have run")
    {
        CHECK(decodeTargetReply(request, { 500, "{}" }).outcome == verdict::may_have_run);
        CHECK(decodeTargetReply(request, { 200, "nonsense" }).outcome == verdict::may_have_run);
    }
}
