#include "gooseberrymoor/settings/setting_definition.h"

#include <array>

namespace gooseberrymoor {

namespace {

constexpr auto name = setting_kind::name;
constexpr auto address = setting_kind::endpoint;
constexpr auto addresses = setting_kind::endpoint_list;
constexpr auto optionalAddresses = setting_kind::optional_endpoint_list;
constexpr auto number = setting_kind::number;

constexpr std::array definitions {
    setting_definition { "node", "name", name, "", 0, 0, "",
                         "Name of this node, unique in its cell." },
    setting_definition { "node", "cell", name, "main", 0, 0, "", "Cell that the node belongs to." },
    setting_definition { "node", "availability_zone", name, "", 0, 0, "",
                         "Availability zone that the VM stands in." },
    setting_definition { "node", "peer_address", address, "", 0, 0, "",
                         "Address for other nodes." },
    setting_definition { "node", "entry_address", address, "", 0, 0, "",
                         "Address for callers and operators." },
    setting_definition {
        "node", "seed_peers", optionalAddresses, "none", 0, 0, "",
        "Addresses of other nodes' peer_address, asked for the configuration at a start "
        "while the store is down." },
    setting_definition { "store", "addresses", addresses, "", 0, 0, "",
                         "Addresses of the platform's key-value service." },
    setting_definition {
        "store", "poll_ms", number, "1000", 50, 60'000, "ms",
        "Time between two reads of the view, and first wait after a failed call." },
    setting_definition {
        "store", "slow_poll_ms", number, "30000", 1000, 600'000, "ms",
        "Time between two reads of the configuration by a node that relies on peers." },
    setting_definition {
        "store", "watch_ms", number, "3000", 100, 60'000, "ms",
        "Longest watch of the configuration, and longest wait after failed calls." },
    setting_definition { "store", "readers", number, "3", 1, 100, "nodes",
                         "Live nodes of a cell that watch the configuration in the store." },
    setting_definition { "store", "timeout_ms", number, "2000", 50, 60'000, "ms",
                         "Longest wait for one answer of the store." },
    setting_definition { "configuration", "announce_ms", number, "500", 50, 10'000, "ms",
                         "Time between two announcements of the revision in force to a peer." },
    setting_definition {
        "configuration", "isolation_ms", number, "15000", 500, 600'000, "ms",
        "Time without a word from the store or a peer after which a node takes no new "
        "work." },
    setting_definition { "membership", "heartbeat_ms", number, "500", 20, 10'000, "ms",
                         "Time between two heartbeats to a peer." },
    setting_definition { "membership", "lease_ms", number, "3000", 100, 60'000, "ms",
                         "How long an owner's lease lasts without renewal." },
    setting_definition { "entry", "directory_ttl_ms", number, "2000", 100, 60'000, "ms",
                         "How long callers may keep the directory's answer." },
    setting_definition { "entry", "max_body_bytes", number, "65536", 1024, 16'777'216, "bytes",
                         "Largest request body of a caller." },
    setting_definition { "entry", "max_queries", number, "256", 1, 100'000, "",
                         "Queries that run at one time; more are refused as overloaded." },
    setting_definition { "query", "default_timeout_ms", number, "1000", 10, 60'000, "ms",
                         "Deadline of a request that states none." },
    setting_definition { "query", "max_timeout_ms", number, "2000", 10, 60'000, "ms",
                         "Longest deadline a caller may state." },
    setting_definition { "query", "hedge_percent", number, "5", 0, 100, "%",
                         "Most extra leaf requests, as a share of first ones." },
    setting_definition { "shutdown", "linger_ms", number, "4000", 0, 120'000, "ms",
                         "How long a leaving node serves callers that keep its address." },
};

} // namespace

std::span<const setting_definition> settingDefinitions()
{
    return definitions;
}

} // namespace gooseberrymoor
