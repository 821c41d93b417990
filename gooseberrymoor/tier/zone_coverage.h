#pragma once

#include <set>
#include <string>

namespace gooseberrymoor {

class replica_set;
struct routing_configuration;

// Returns the availability zones that contain targets of at least half of the shards of all routes.
// Callers in any other zone should use a node in one of these zones: then a single request crosses
// zones instead of one for each shard. Empty if no route has shards.
std::set<std::string> zonesWithShards(const replica_set &replicas,
                                      const routing_configuration &configuration);

} // namespace gooseberrymoor
