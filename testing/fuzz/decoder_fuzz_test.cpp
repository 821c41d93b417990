#include "fuzz_size.h"
#include "mutator.h"

#include "gooseberrymoor/fleet/fleet_member.h"
#include "gooseberrymoor/fleet/fleet_member_codec.h"
#include "gooseberrymoor/fleet/heartbeat_codec.h"
#include "gooseberrymoor/forward/forward_timing.h"
#include "gooseberrymoor/mirror/applied_changes.h"
#include "gooseberrymoor/mirror/mirror_listener.h"
#include "gooseberrymoor/mirror/mirror_update.h"
#include "gooseberrymoor/mirror/mirror_update_codec.h"
#include "gooseberrymoor/mirror/store_availability.h"
#include "gooseberrymoor/mirror/store_mirror.h"
#include "gooseberrymoor/replica/cold_target_limiter.h"
#include "gooseberrymoor/replica/expected_wait_selector.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/replica/replica_subset.h"
#include "gooseberrymoor/routing/route_table.h"
#include "gooseberrymoor/store/etcd_codec.h"
#include "platform/http_leaf_protocol.h"
#include "platform/json_catalog_decoder.h"
#include "platform/platform_settings.h"
#include "platform/store_codec.h"

#include <doctest/doctest.h>

#include <functional>
#include <sstream>
#include <string>
#include <vector>

using namespace gooseberrymoor;

namespace {

const time_point now { duration(1'000'000'000) };

// Passes an input to a decoder and uses what it accepts; returns whether it was accepted.
using decode_input = std::function<bool(const std::string &)>;

std::vector<std::uint8_t> bytesOf(const std::string &text)
{
    return { text.begin(), text.end() };
}

std::string textOf(const std::vector<std::uint8_t> &bytes)
{
    return { bytes.begin(), bytes.end() };
}

// Decodes mutated samples. A fault of the decoder ends the process: the program is built with
// sanitizers. The samples themselves must be accepted.
void fuzz(const std::vector<std::string> &samples, const decode_input &decode)
{
    for (const std::string &each : samples)
        REQUIRE_MESSAGE(decode(each), each);
    const fuzz_size size;
    mutator variants(samples, size.seed);
    int accepted = 0;
    for (int i = 0; i < size.inputs; ++i)
        accepted += decode(variants.next()) ? 1 : 0;
    CHECK(accepted < size.inputs);
    MESSAGE(size.inputs, " inputs, ", accepted, " accepted");
}

class discarding_listener : public mirror_listener
{
public:
    void onValue(const std::string &, const std::string &, std::int64_t) override { }
    void onRemoved(const std::string &) override { }
};

const std::string target_text = R"({"service":"s1","address":"10.128.0.9:8080","zone":"kv-a",)"
                                R"("version":"v1","slots":4,"state":"ready",)"
                                R"("cold_remaining_ms":250,"sequence":4,"born":1700000000000})";

const std::string configuration_text = R"({"version":7,"limits":{"header_bytes":16384,
 "body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},"routes":[
 {"name":"sweep","host":"a.example","path_prefix":"/x/","kind":"safe","timeout_ms":800,
  "target_latency_ms":150,"priority":1,"gather":["s1","s2"],"max_attempts":2,"top_k":10,
  "minimum_success_share":0.89},
 {"name":"get","host":"b.example","path_prefix":"/y/","kind":"unsafe","timeout_ms":4000,
  "target_latency_ms":600,"priority":2,"max_attempts":2,
  "traffic_split":[{"service":"s1","weight":3},{"service":"new","weight":1}]}],
 "services":[{"name":"s1","connection_limit":36,"cold_start_s":3.0,"cold_per_s":2.5}]})";

const std::string settings_text = R"(node = "n1"
zone = "a"
ip_address = "10.0.0.1"
internal_ports = [9000]
[listen_addresses]
front = "10.0.0.1:80"
ready = "10.0.0.1:81"
directory = "10.0.0.1:82"
[bounds]
retry_budget_ratio = 0.2
budget_slack = 58
budget_window_s = 10
cold_burst_factor = 1.5
cold_slack = 5
grace_s = 6
ttl_max_s = 5
[platform]
address = "10.0.0.9:90"
)";

// Registers the target and places a request, as a node does.
bool useTarget(const std::string &text)
{
    const platform::json_catalog_decoder decoder;
    const auto entry = decoder.decodeReplica("servers/i-1", text);
    if (!entry)
        return false;
    replica_set replicas;
    replica_subset subset(replicas, "n1", "a");
    cold_target_limiter cold("n1", { 1.5, 5 });
    expected_wait_selector selector(replicas, subset, cold, "a");
    replicas.put(*entry, now);
    replicas.put(*entry, now + duration(700));
    selector.choose(entry->service, {}, now + duration(800));
    return selector.availableAt(entry->service, now) == now || entry->draining;
}

// Configures a node, and computes the times of a request on each route.
bool useConfiguration(const std::string &text)
{
    const platform::json_catalog_decoder decoder;
    auto configuration = decoder.decodeConfiguration(text);
    if (!configuration)
        return false;
    replica_set replicas;
    replica_subset subset(replicas, "n1", "a");
    cold_target_limiter cold("n1", { 1.5, 5 });
    subset.configure(*configuration);
    cold.configure(*configuration);
    for (const route &each : configuration->routes) {
        softDeadlineFor(each, now, true);
        hedgeDelay(each, duration(20));
        retryAfter(each.timeout, true);
        static_cast<void>(now + each.timeout);
    }
    const route_table table(std::move(*configuration));
    table.find("a.example", "/x/1");
    return true;
}

bool useMirrorUpdate(const std::string &text)
{
    const auto update = decodeMirrorUpdate(bytesOf(text));
    if (!update)
        return false;
    discarding_listener listener;
    store_availability availability;
    store_mirror mirror(listener, availability, duration(2500));
    mirror.onFullRead({ 3, {} }, now);
    availability.onOutageReported(now - update->storeHealthyFor);
    mirror.onChanges(update->changes, update->toRevision, now);
    mirror.nextTimedChange();
    availability.healthyFor(now);
    return true;
}

// The first line is the status, the others are header fields.
bool useReply(const std::string &text)
{
    std::istringstream lines(text);
    http_reply reply;
    lines >> reply.status;
    std::string line;
    while (std::getline(lines, line)) {
        const std::size_t colon = line.find(": ");
        if (colon != std::string::npos)
            reply.headers.emplace_back(line.substr(0, colon), line.substr(colon + 2));
    }
    const platform::http_leaf_protocol protocol;
    const leaf_call_result result = protocol.decode(reply, "a1");
    replica_backpressure backpressure;
    backpressure.onReply(result.signals, 1, now);
    return backpressure.isBackingOff(now);
}

} // namespace

TEST_CASE("Malformed input does no harm")
{
    SUBCASE("as the entry of a target")
    {
        std::string draining = target_text;
        draining.replace(draining.find("ready"), 5, "draining");
        fuzz({ target_text, draining }, useTarget);
    }
    SUBCASE("as the operators' configuration")
    {
        fuzz({ configuration_text }, useConfiguration);
    }
    SUBCASE("as a page of the store")
    {
        fuzz({ R"({"store_revision":9,"has_more":true,"items":[)"
               R"({"key":"servers/a","value":"MQ==","revision":5,"created_revision":2,"lease":0},)"
               R"({"key":"servers/b","value":"Mg==","revision":8}]})" },
             [](const std::string &text) { return platform::decodeRange(text).has_value(); });
    }
    SUBCASE("as changes of the store")
    {
        fuzz({ R"({"store_revision":9,"events":[{"key":"servers/a","value":"MQ==","revision":5},)"
               R"({"key":"servers/b","revision":7,"deleted":true}]})" },
             [](const std::string &text) { return platform::decodeChanges(text).has_value(); });
    }
    SUBCASE("as a lease of the store")
    {
        fuzz({ R"({"lease":77,"ttl_ms":5000})" }, [](const std::string &text) {
            return platform::decodeNumber(text, "ttl_ms").has_value();
        });
    }
    SUBCASE("as the era of an answer of the store")
    {
        fuzz({ "12", "18446744073709551615" }, [](const std::string &text) {
            return platform::decodeEra({ { "Store-Era", text } }).has_value();
        });
    }
    SUBCASE("as the entry of a node")
    {
        fleet_member member;
        member.name = "n1";
        member.incarnation = 7;
        member.availabilityZone = "a";
        member.callerAddress = { "10.0.0.1", 80 };
        member.peerAddress = { "10.0.0.1", 9000 };
        fuzz({ encodeFleetMember(member) },
             [](const std::string &text) { return decodeFleetMember(text).has_value(); });
    }
    SUBCASE("as the settings of a node")
    {
        fuzz({ settings_text }, [](const std::string &text) {
            return platform::parsePlatformSettings(text).has_value();
        });
    }
    SUBCASE("as a heartbeat of a peer")
    {
        fuzz({ textOf(encodeHeartbeat({ true, false, true, { "n1", "n2" } })),
               textOf(encodeHeartbeat({})) },
             [](const std::string &text) { return decodeHeartbeat(bytesOf(text)).has_value(); });
    }
    SUBCASE("as an update of a peer")
    {
        mirror_update update { "servers/",
                               4,
                               9,
                               duration(1200),
                               { { "servers/a", "1", 5 }, { "servers/b", std::nullopt, 9 } },
                               true };
        const std::string withoutEra = textOf(encodeMirrorUpdate(update));
        update.era = static_cast<store_era>(3);
        update.isSnapshot = true;
        fuzz({ withoutEra, textOf(encodeMirrorUpdate(update)) }, useMirrorUpdate);
    }
    SUBCASE("as the head of a target's reply")
    {
        fuzz({ "503\nRetry-After: 0.25\nServer-Leaving: 1\nGooseberrymoor-Not-Executed: 1\n"
               "Gooseberrymoor-Attempt-Id: a1\nGooseberrymoor-Server-Load: 3,2,4\n" },
             useReply);
    }
    SUBCASE("as answers of the etcd API")
    {
        fuzz({ R"({"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":"MQ==",)"
               R"("mod_revision":"5"}]})" },
             [](const std::string &text) { return decodeRangeResponse(text).has_value(); });
    }
}
