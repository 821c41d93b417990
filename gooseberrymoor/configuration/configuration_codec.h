#pragma once

#include <tl/expected.hpp>

#include <set>
#include <string>

namespace gooseberrymoor {

struct service_config;
struct snapshot_config;

// JSON text of a service, as it lies in the store.
std::string encodeService(const service_config &service);

// The inverse of `encodeService`; the error says which field is at fault.
tl::expected<service_config, std::string> decodeService(const std::string &text);

// JSON text of a snapshot.
std::string encodeSnapshot(const snapshot_config &snapshot);

// The inverse of `encodeSnapshot`.
tl::expected<snapshot_config, std::string> decodeSnapshot(const std::string &text);

// JSON text of the availability zones that are out of service.
std::string encodeZones(const std::set<std::string> &zones);

// The inverse of `encodeZones`.
tl::expected<std::set<std::string>, std::string> decodeZones(const std::string &text);

} // namespace gooseberrymoor
