#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/settings/settings_error.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace gooseberrymoor {

// The checked settings of one node, as docs/SETTINGS.md lists them. Value type.
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

// Reads and checks the text of a settings file; `file` is only named in errors.
tl::expected<node_settings, settings_error> parseNodeSettings(const std::string &file,
                                                              const std::string &text);

// Like `parseNodeSettings`, from the file itself.
tl::expected<node_settings, settings_error> readNodeSettings(const std::string &file);

} // namespace gooseberrymoor
