#include "gooseberrymoor/tier/metrics_page.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/latency_histogram.h"
#include "gooseberrymoor/tier/fleet_node.h"

#include <array>

namespace gooseberrymoor {

namespace {

constexpr const char *prefix = "gooseberrymoor_";
constexpr std::array<double, 4> quantiles { 0.5, 0.9, 0.99, 0.999 };

void appendType(std::string &page, const std::string &name, const char *type)
{
    page += "# TYPE " + name + " " + type + "\n";
}

void appendGauge(std::string &page, const std::string &shortName, std::int64_t value)
{
    const std::string name = prefix + shortName;
    appendType(page, name, "gauge");
    page += name + " " + std::to_string(value) + "\n";
}

void appendLatencies(std::string &page, const std::string &shortName,
                     const latency_histogram &latencies)
{
    const std::string name = prefix + shortName;
    appendType(page, name, "summary");
    for (const double each : quantiles) {
        std::string label = std::to_string(each);
        label.erase(label.find_last_not_of('0') + 1);
        page += name + "{quantile=\"" + label + "\"} "
            + std::to_string(latencies.quantile(each).count()) + "\n";
    }
    page += name + "_count " + std::to_string(latencies.count()) + "\n";
}

} // namespace

std::string metricsPage(const fleet_node &tier, const counters &counters)
{
    std::string page;
    for (const auto &[shortName, value] : counters.all()) {
        const std::string name = prefix + shortName + "_total";
        appendType(page, name, "counter");
        page += name + " " + std::to_string(value) + "\n";
    }
    const auto &routes = tier.routes();
    appendGauge(page, "configuration_version", routes ? routes->configuration().version : 0);
    appendGauge(page, "live_nodes", static_cast<std::int64_t>(tier.fleet().size()));
    appendGauge(page, "known_targets", static_cast<std::int64_t>(tier.replicas().all().size()));
    appendGauge(page, "running_requests", static_cast<std::int64_t>(tier.requests().running()));
    appendGauge(page, "target_connections",
                static_cast<std::int64_t>(tier.connections().openConnections()));
    appendGauge(page, "ready", tier.isReady() ? 1 : 0);
    appendLatencies(page, "request_milliseconds", tier.requests().requestLatencies());
    appendLatencies(page, "target_answer_milliseconds", tier.requests().targetLatencies());
    return page;
}

} // namespace gooseberrymoor
