#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <string>

namespace gooseberrymoor {

class configuration_keys;
struct configuration;
struct store_read;

// Builds a configuration from a read of `keys.root()`; the error names the key at fault.
tl::expected<configuration, std::string> parseConfiguration(const store_read &read,
                                                            const configuration_keys &keys);

// The revision of the configuration that `read` holds: that of its head key, 0 if it has none.
std::int64_t revisionOf(const store_read &read, const configuration_keys &keys);

} // namespace gooseberrymoor
