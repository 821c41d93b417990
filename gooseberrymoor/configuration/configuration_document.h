#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <string>

namespace gooseberrymoor {

class configuration_keys;
struct configuration;
struct store_read;

// Decodes the configuration from a read of `keys.root()`; the error names the invalid key.
tl::expected<configuration, std::string> parseConfiguration(const store_read &read,
                                                            const configuration_keys &keys);

// Returns the revision of the configuration in `read`: that of the head key, 0 without one.
std::int64_t revisionOf(const store_read &read, const configuration_keys &keys);

} // namespace gooseberrymoor
