#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/settings/settings_error.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace gooseberrymoor {

// The validated settings of a node; docs/SETTINGS.md describes each one. Value type.
struct node_settings
{
    std::string name;
    std::string cell;
    std::string availabilityZone;
    endpoint peerAddress;
    endpoint entryAddress;
    std::vector<endpoint> seedPeers;
    std::vector<endpoint> storeAddresses;
    duration storePollInterval {};
    duration storeSlowPollInterval {}; // of nodes that rely on their peers
    duration storeWatchTimeout {};
    int storeReaderCount = 0; // nodes of a cell that watch the store
    duration announce {}; // interval between announcements to each peer
    duration isolation {}; // time without store and peers until new requests are rejected
    duration storeTimeout {}; // of each store call
    duration heartbeat {}; // interval between heartbeats to each peer
    duration lease {}; // of an owner, unless renewed
    duration directoryTtl {}; // time for which callers may use a directory response
    std::size_t maxBodyBytes = 0;
    std::size_t maxQueries = 0; // concurrent ones; further ones are rejected as overloaded
    duration defaultTimeout {}; // of requests that state none
    duration maxTimeout {};
    int hedgePercent = 0; // maximum of additional leaf requests, relative to the first ones
    duration linger {}; // time for which a node that shuts down serves callers
};

// Parses and validates the text of a settings file. `file` is only used in errors.
tl::expected<node_settings, settings_error> parseNodeSettings(const std::string &file,
                                                              const std::string &text);

// Reads `file` and passes its text to `parseNodeSettings`.
tl::expected<node_settings, settings_error> readNodeSettings(const std::string &file);

} // namespace gooseberrymoor
