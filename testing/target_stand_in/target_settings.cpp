#include "target_settings.h"

#include "gooseberrymoor/settings/ini_document.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>

#include <array>
#include <charconv>
#include <fstream>
#include <sstream>

using namespace gooseberrymoor;

namespace {

constexpr const char *section = "target";

struct number_setting
{
    std::string_view name;
    int target_settings::*value;
};

constexpr std::array number_settings {
    number_setting { "slots", &target_settings::slots },
    number_setting { "queue", &target_settings::queue },
    number_setting { "latency_ms", &target_settings::latencyMs },
    number_setting { "connections", &target_settings::connections },
    number_setting { "connection_cost_ms", &target_settings::connectionCostMs },
    number_setting { "cold_slots", &target_settings::coldSlots },
    number_setting { "warmup_requests", &target_settings::warmupRequests },
    number_setting { "warmup_ms", &target_settings::warmupMs },
    number_setting { "fall_over_ms", &target_settings::fallOverMs },
    number_setting { "tells_cold", &target_settings::tellsCold },
    number_setting { "shed_permille", &target_settings::shedPermille },
    number_setting { "draining", &target_settings::draining },
    number_setting { "cancellation", &target_settings::cancellation },
    number_setting { "deadlines", &target_settings::deadlines },
    number_setting { "health_lag_ms", &target_settings::healthLagMs },
    number_setting { "health_lies", &target_settings::healthLies },
    number_setting { "silent_permille", &target_settings::silentPermille },
    number_setting { "silent_swallows", &target_settings::silentSwallows },
    number_setting { "straggler_permille", &target_settings::stragglerPermille },
    number_setting { "straggler_ms", &target_settings::stragglerMs },
    number_setting { "seed", &target_settings::seed },
    number_setting { "bad_failure_permille", &target_settings::badFailurePermille },
    number_setting { "bad_slowdown_ms", &target_settings::badSlowdownMs },
    number_setting { "bad_after_requests", &target_settings::badAfterRequests },
    number_setting { "bad_above_running", &target_settings::badAboveRunning },
};

bool parseNonNegative(const std::string &text, int &value)
{
    const char *end = text.data() + text.size();
    int number = 0;
    const auto [last, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || last != end || number < 0)
        return false;
    value = number;
    return true;
}

} // namespace

bool target_settings::set(std::string_view name, const std::string &text)
{
    if (name == "snapshots") {
        boost::algorithm::split(snapshots, text, boost::is_any_of(","));
        return true;
    }
    if (name == "bad_route") {
        badRoute = text;
        return true;
    }
    for (const number_setting &each : number_settings) {
        if (each.name == name)
            return parseNonNegative(text, this->*each.value);
    }
    return false;
}

tl::expected<target_settings, settings_error> readTargetSettings(const std::string &file)
{
    std::ifstream input(file);
    std::ostringstream text;
    text << input.rdbuf();
    const auto document = ini_document::parse(file, text.str());
    if (!document)
        return tl::unexpected(document.error());
    target_settings settings;
    for (const auto &[path, value] : document->values()) {
        const auto &[sectionName, name] = path;
        if (name == "listen")
            continue;
        if (sectionName != section || !settings.set(name, value.text))
            return tl::unexpected(
                settings_error { file, value.line, sectionName + "." + name,
                                 "unknown key, or value is not a non-negative integer" });
    }
    const ini_value *listen = document->find(section, "listen");
    const auto address = listen ? parseEndpoint(listen->text) : std::nullopt;
    if (!address)
        return tl::unexpected(
            settings_error { file, 0, "target.listen", "not an IP address with a port" });
    settings.listen = *address;
    return settings;
}
