#pragma once

#include <tl/expected.hpp>

#include <set>
#include <string>

namespace gooseberrymoor {

struct service_config;
struct snapshot_config;

// Encodes a service as the JSON kept in the store.
std::string encodeService(const service_config &service);

// Decodes and validates a service; the error names the invalid field.
tl::expected<service_config, std::string> decodeService(const std::string &text);

// Encodes a snapshot as JSON.
std::string encodeSnapshot(const snapshot_config &snapshot);

// Decodes what `encodeSnapshot` wrote; the error describes malformed text.
tl::expected<snapshot_config, std::string> decodeSnapshot(const std::string &text);

// Encodes the availability zones that are out of service as JSON.
std::string encodeZones(const std::set<std::string> &zones);

// Decodes what `encodeZones` wrote; the error describes malformed text.
tl::expected<std::set<std::string>, std::string> decodeZones(const std::string &text);

} // namespace gooseberrymoor
