#include "gooseberrymoor/store/etcd_codec.h"

#include "gooseberrymoor/store/base64.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace gooseberrymoor;

TEST_CASE("Store calls are encoded as JSON")
{
    SUBCASE("keys and values may hold any bytes")
    {
        CHECK(rc::check(
            [](const std::string &bytes) { RC_ASSERT(fromBase64(toBase64(bytes)) == bytes); }));
    }
    SUBCASE("a prefix is encoded as a range that ends before the next key without it")
    {
        const auto request = boost::json::parse(encodeRangeRequest("/a/")).as_object();
        CHECK(fromBase64(std::string(request.at("range_end").as_string())) == "/a0");
    }
    SUBCASE("a response without keys is an empty read")
    {
        const auto read = decodeRangeResponse(R"({"header":{"revision":"7"}})");
        REQUIRE(read);
        CHECK(read->revision == 7);
        CHECK(read->entries.empty());
    }
    SUBCASE("a transaction whose conditions failed is a result, not an error")
    {
        const auto result = decodeTransactionResponse(R"({"header":{"revision":"9"}})");
        REQUIRE(result);
        CHECK(!result->succeeded);
    }
    SUBCASE("a malformed response is an error")
    {
        CHECK(!decodeRangeResponse("{}"));
        CHECK(!decodeTransactionResponse("nonsense"));
    }
}
