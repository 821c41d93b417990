#pragma once

#include "gooseberrymoor/replica/replica.h"
#include "gooseberrymoor/replica/replica_progress.h"
#include "gooseberrymoor/routing/routing_configuration.h"

#include <tl/expected.hpp>

#include <optional>
#include <string>

namespace gooseberrymoor {

// Decodes the keys and values that operators and targets write to the store. Errors are
// human-readable. Stateless; thread-safe.
class catalog_decoder
{
public:
    virtual ~catalog_decoder() = default;

    // The prefix of the keys that operators write.
    virtual std::string operatorPrefix() const = 0;

    // The prefix of the keys under which targets register themselves.
    virtual std::string replicaPrefix() const = 0;

    // Whether `key` is the key of the configuration.
    virtual bool isConfiguration(const std::string &key) const = 0;

    // The availability zone that is out of service while `key` exists; empty for any other key.
    virtual std::optional<std::string> parseZoneOutKey(const std::string &key) const = 0;

    virtual tl::expected<routing_configuration, std::string>
    decodeConfiguration(const std::string &value) const = 0;

    virtual tl::expected<replica, std::string> decodeReplica(const std::string &key,
                                                             const std::string &value) const = 0;

    // How far the target had got that wrote the entry `value`; empty if that can't be read.
    virtual std::optional<replica_progress> decodeProgress(const std::string &value) const = 0;
};

} // namespace gooseberrymoor
