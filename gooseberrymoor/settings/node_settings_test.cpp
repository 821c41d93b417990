#include "gooseberrymoor/settings/node_settings.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

namespace {

const std::string valid = "[node]\n"
                          "name = n1\n"
                          "availability_zone = kl-a\n"
                          "peer_address = 127.0.0.1:7001\n"
                          "entry_address = 127.0.0.1:8001\n"
                          "[store]\n"
                          "addresses = 127.0.0.1:2379, 127.0.0.1:2380\n";

settings_error errorOf(const std::string &text)
{
    const auto result = parseNodeSettings("n.ini", text);
    REQUIRE(!result);
    return result.error();
}

} // namespace

TEST_CASE("A settings file is parsed and validated")
{
    SUBCASE("with only the required settings, it is valid")
    {
        const auto settings = parseNodeSettings("n.ini", valid);
        REQUIRE(settings);
        CHECK(settings->name == "n1");
        CHECK(settings->storeAddresses.size() == 2);
        SUBCASE("the others have their defaults")
        {
            CHECK(settings->lease == duration(3000));
        }
    }
    SUBCASE("with an unknown key, the error has the line number")
    {
        const auto error = errorOf(valid + "colour = red\n");
        CHECK(error.line == 8);
        CHECK(error.key == "store.colour");
        CHECK(error.reason == "unknown key");
    }
    SUBCASE("with a host name instead of an IP address, the error names the line and the key")
    {
        const auto error = errorOf("[node]\nname = n1\navailability_zone = a\n"
                                   "peer_address = example:7001\n");
        CHECK(error.line == 4);
        CHECK(error.key == "node.peer_address");
    }
    SUBCASE("with an invalid number, the error names the line and the key")
    {
        for (const char *number : { "12x", "", "-1", "99999999" }) {
            const auto error = errorOf(valid + "poll_ms = " + number + "\n");
            CHECK(error.line == 8);
            CHECK(error.key == "store.poll_ms");
        }
    }
    SUBCASE("without a required setting, the error is a missing value")
    {
        const auto error = errorOf("[node]\nname = n1\n");
        CHECK(error.reason == "missing value");
    }
    SUBCASE("with a duplicate key, the error has the line of the second one")
    {
        const auto error = errorOf(valid + "poll_ms = 100\npoll_ms = 200\n");
        CHECK(error.line == 9);
    }
    SUBCASE("with inconsistent values, the error names one of their keys")
    {
        CHECK(errorOf(valid + "[shutdown]\nlinger_ms = 100\n").key == "shutdown.linger_ms");
        CHECK(errorOf(valid + "[query]\ndefault_timeout_ms = 9000\n").key
              == "query.default_timeout_ms");
        CHECK(errorOf(valid + "[membership]\nlease_ms = 1000\n").key == "membership.lease_ms");
    }
    SUBCASE("and a file that cannot be read is an error")
    {
        CHECK(!readNodeSettings("/nonexistent.ini"));
    }
}
