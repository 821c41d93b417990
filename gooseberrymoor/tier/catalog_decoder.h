#pragma once

#include "gooseberrymoor/replica/replica.h"
#include "gooseberrymoor/routing/routing_configuration.h"

#include <tl/expected.hpp>

#include <optional>
#include <string>

namespace gooseberrymoor {

// Reads what operators and targets keep in the store. Errors are for people. Stateless;
// thread-safe.
class catalog_decoder
{
public:
    virtual ~catalog_decoder() = default;

    // The prefix of the keys that operators write.
    virtual std::string operatorPrefix() const = 0;

    // The prefix of the keys that targets write of themselves.
    virtual std::string replicaPrefix() const = 0;

    // Whether `key` holds the configuration.
    virtual bool isConfiguration(const std::string &key) const = 0;

    // The availability zone that is out while `key` is there; nothing if it is no such key.
    virtual std::optional<std::string> parseZoneOutKey(const std::string &key) const = 0;

    virtual tl::expected<routing_configuration, std::string>
    decodeConfiguration(const std::string &value) const = 0;

    virtual tl::expected<replica, std::string> decodeReplica(const std::string &key,
                                                             const std::string &value) const = 0;
};

} // namespace gooseberrymoor
