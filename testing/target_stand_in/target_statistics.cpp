#include "target_statistics.h"

#include <boost/json.hpp>

namespace json = boost::json;

std::string target_statistics::toJson(const std::string &instance) const
{
    json::object runs;
    for (const auto &[body, count] : executionsByBody)
        runs[body] = count;
    return json::serialize(json::object { { "instance", instance },
                                          { "most_running", maxRunning },
                                          { "most_at_once", maxActive },
                                          { "most_connections", maxConnections },
                                          { "refused_connections", refusedConnections },
                                          { "cold_violations", coldViolations },
                                          { "served", served },
                                          { "shed", shed },
                                          { "drained", drained },
                                          { "cancelled", cancelled },
                                          { "expired", expired },
                                          { "failed", failed },
                                          { "silenced", silenced },
                                          { "restarts", restarts },
                                          { "runs", runs } });
}
