#pragma once

#include <set>
#include <string>

namespace gooseberrymoor {

class replica_set;
struct routing_configuration;

// Returns the availability zones that contain eligible targets of at least half of the shards of
// all routes. A caller in any other zone should use a node in one of these zones: then only its own
// request crosses zones, not a request to a target of each shard. Empty if no zone contains half of
// the shards or if no route has shards.
std::set<std::string> zonesWithShards(const replica_set &replicas,
                                      const routing_configuration &configuration);

} // namespace gooseberrymoor
