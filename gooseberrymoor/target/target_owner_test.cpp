#include "gooseberrymoor/target/target_owner.h"

#include "gooseberrymoor/admission/leaf_message.h"
#include "gooseberrymoor/admission/leaf_reply_sink.h"
#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/configuration/configuration.h"
#include "gooseberrymoor/membership/target_ownership.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace gooseberrymoor;

namespace {

class fixed_ownership : public target_ownership
{
public:
    bool isOwner(std::string_view) const override { return owner; }
    bool maySend(std::string_view, time_point) const override { return owner && isSendAllowed; }

    bool owner = true;
    bool isSendAllowed = true;
};

class recording_sink : public leaf_reply_sink
{
public:
    void reply(leaf_response response) override { lastResponse = std::move(response); }

    leaf_response lastResponse;
};

configuration oneTarget()
{
    service_config service;
    service.name = "standings";
    service.groups = { { "g1", { { "g1-a", { "127.0.0.1", 20'070 }, "kl-a", "v1", false } } } };
    configuration result;
    result.services["standings"] = service;
    return result;
}

} // namespace

TEST_CASE("A node receives a request for a target")
{
    asio::io_context context;
    counters events;
    fixed_ownership ownership;
    target_owner owner(context.get_executor(), ownership, duration(2000), events);
    const auto sink = std::make_shared<recording_sink>();
    leaf_request request;
    request.id = 7;
    request.service = "standings";
    request.target = "g1-a";
    request.timeout = duration(100);

    SUBCASE("that another node owns, and refuses it as not run")
    {
        ownership.owner = false;
        owner.update(oneTarget());
        owner.submit("n2", request, sink);
        CHECK(sink->lastResponse.id == 7);
        CHECK(sink->lastResponse.error == error_kind::not_owner);
        CHECK(sink->lastResponse.outcome == verdict::not_run);
    }
    SUBCASE("that it owns")
    {
        owner.update(oneTarget());
        SUBCASE("but may not send to yet, and refuses it as not run")
        {
            ownership.isSendAllowed = false;
            owner.submit("n2", request, sink);
            CHECK(sink->lastResponse.error == error_kind::no_owner);
            CHECK(sink->lastResponse.outcome == verdict::not_run);
            CHECK(!owner.mayHaveRunningRequests("standings/g1-a"));
        }
        SUBCASE("and counts it as running until it ends")
        {
            owner.submit("n2", request, sink);
            CHECK(owner.mayHaveRunningRequests("standings/g1-a"));
            CHECK(!owner.isIdle());
            context.run_for(duration(1000));
            CHECK(sink->lastResponse.id == 7);
            CHECK(owner.isIdle());
        }
    }
}
