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
    duration storeSlowPollInterval {};
    duration storeWatchTimeout {};
    int storeReaderCount = 0;
    duration announce {};
    duration isolation {};
    duration storeTimeout {};
    duration heartbeat {};
    duration lease {};
    duration directoryTtl {};
    std::size_t maxBodyBytes = 0;
    std::size_t maxQueries = 0;
    duration defaultTimeout {};
    duration maxTimeout {};
    int hedgePercent = 0;
    duration linger {};
};

// Parses and validates the text of a settings file. `file` is only used in errors.
tl::expected<node_settings, settings_error> parseNodeSettings(const std::string &file,
                                                              const std::string &text);

// Reads `file` and passes its text to `parseNodeSettings`.
tl::expected<node_settings, settings_error> readNodeSettings(const std::string &file);

} // namespace gooseberrymoor
