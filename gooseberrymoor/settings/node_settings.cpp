#include "gooseberrymoor/settings/node_settings.h"

#include "gooseberrymoor/settings/ini_document.h"
#include "gooseberrymoor/settings/setting_definition.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace gooseberrymoor {

namespace {

constexpr std::string_view empty_list_text = "none";

using check_result = tl::expected<void, std::string>;

constexpr int min_heartbeats_per_lease = 3;

std::optional<std::int64_t> parseNumber(const std::string &text)
{
    std::int64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return value;
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    boost::algorithm::split(parts, text, boost::is_any_of(","));
    for (std::string &part : parts)
        boost::algorithm::trim(part);
    return parts;
}

bool isName(const std::string &text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.';
    });
}

check_result checkEndpoint(const std::string &text)
{
    if (!parseEndpoint(text))
        return tl::unexpected("\"" + text + "\" is not an IP address with a port");
    return {};
}

check_result checkNumber(const setting_definition &definition, const std::string &text)
{
    const auto value = parseNumber(text);
    if (!value)
        return tl::unexpected("\"" + text + "\" is not an integer");
    if (*value < definition.minValue || *value > definition.maxValue) {
        return tl::unexpected(text + " is outside " + std::to_string(definition.minValue) + " to "
                              + std::to_string(definition.maxValue));
    }
    return {};
}

check_result checkValue(const setting_definition &definition, const std::string &text)
{
    switch (definition.kind) {
    case setting_kind::name:
        if (!isName(text))
            return tl::unexpected("\"" + text
                                  + "\" is not a name of letters, digits, '-', '_' and '.'");
        return {};
    case setting_kind::endpoint:
        return checkEndpoint(text);
    case setting_kind::optional_endpoint_list:
        if (text == empty_list_text)
            return {};
        [[fallthrough]];
    case setting_kind::endpoint_list:
        for (const std::string &part : splitList(text)) {
            if (const auto result = checkEndpoint(part); !result)
                return result;
        }
        return {};
    case setting_kind::number:
        return checkNumber(definition, text);
    }
    return tl::unexpected(std::string("unknown kind"));
}

std::string fullName(const setting_definition &definition)
{
    return std::string(definition.section) + "." + std::string(definition.key);
}

bool isKnown(const ini_document::key_path &keyPath)
{
    return std::ranges::any_of(
        settingDefinitions(), [&keyPath](const setting_definition &definition) {
            return definition.section == keyPath.first && definition.key == keyPath.second;
        });
}

// Returns the text of a setting from the file, or its default.
std::string settingText(const ini_document &document, std::string_view section,
                        std::string_view key)
{
    if (const auto *value = document.find(std::string(section), std::string(key)))
        return value->text;
    const auto row
        = std::ranges::find_if(settingDefinitions(), [&](const setting_definition &candidate) {
              return candidate.section == section && candidate.key == key;
          });
    return row == settingDefinitions().end() ? std::string() : std::string(row->defaultValue);
}

duration durationSetting(const ini_document &document, std::string_view section,
                         std::string_view key)
{
    return duration(parseNumber(settingText(document, section, key)).value_or(0));
}

std::int64_t numberSetting(const ini_document &document, std::string_view section,
                           std::string_view key)
{
    return parseNumber(settingText(document, section, key)).value_or(0);
}

std::vector<endpoint> parseOptionalEndpoints(const std::string &text)
{
    std::vector<endpoint> endpoints;
    if (text == empty_list_text)
        return endpoints;
    for (const std::string &part : splitList(text))
        endpoints.push_back(*parseEndpoint(part));
    return endpoints;
}

node_settings toSettings(const ini_document &document)
{
    node_settings settings;
    settings.name = settingText(document, "node", "name");
    settings.cell = settingText(document, "node", "cell");
    settings.availabilityZone = settingText(document, "node", "availability_zone");
    settings.peerAddress = *parseEndpoint(settingText(document, "node", "peer_address"));
    settings.entryAddress = *parseEndpoint(settingText(document, "node", "entry_address"));
    for (const std::string &part : splitList(settingText(document, "store", "addresses")))
        settings.storeAddresses.push_back(*parseEndpoint(part));
    settings.seedPeers = parseOptionalEndpoints(settingText(document, "node", "seed_peers"));
    settings.storeSlowPollInterval = durationSetting(document, "store", "slow_poll_ms");
    settings.storeWatchTimeout = durationSetting(document, "store", "watch_ms");
    settings.storeReaderCount = static_cast<int>(numberSetting(document, "store", "readers"));
    settings.announce = durationSetting(document, "configuration", "announce_ms");
    settings.isolation = durationSetting(document, "configuration", "isolation_ms");
    settings.storePollInterval = durationSetting(document, "store", "poll_ms");
    settings.storeTimeout = durationSetting(document, "store", "timeout_ms");
    settings.heartbeat = durationSetting(document, "membership", "heartbeat_ms");
    settings.lease = durationSetting(document, "membership", "lease_ms");
    settings.directoryTtl = durationSetting(document, "entry", "directory_ttl_ms");
    settings.maxBodyBytes
        = static_cast<std::size_t>(numberSetting(document, "entry", "max_body_bytes"));
    settings.maxQueries = static_cast<std::size_t>(numberSetting(document, "entry", "max_queries"));
    settings.defaultTimeout = durationSetting(document, "query", "default_timeout_ms");
    settings.maxTimeout = durationSetting(document, "query", "max_timeout_ms");
    settings.hedgePercent = static_cast<int>(numberSetting(document, "query", "hedge_percent"));
    settings.linger = durationSetting(document, "shutdown", "linger_ms");
    return settings;
}

// Returns the line number of a setting, or 0 if the file does not contain it.
int lineOf(const ini_document &document, const std::string &section, const std::string &key)
{
    const ini_value *value = document.find(section, key);
    return value ? value->line : 0;
}

// Checks constraints between several settings.
std::optional<settings_error> checkConsistency(const std::string &file,
                                               const ini_document &document,
                                               const node_settings &settings)
{
    // Callers may use a node that is shutting down until the last directory response that lists it
    // has expired. Other nodes list it until they learn that it has left, which takes about one
    // poll interval.
    const duration minLinger = settings.directoryTtl + settings.storePollInterval;
    if (settings.linger < minLinger) {
        return settings_error { file, lineOf(document, "shutdown", "linger_ms"),
                                "shutdown.linger_ms",
                                "is less than entry.directory_ttl_ms + store.poll_ms, "
                                    + std::to_string(minLinger.count()) };
    }
    if (settings.defaultTimeout > settings.maxTimeout) {
        return settings_error { file, lineOf(document, "query", "default_timeout_ms"),
                                "query.default_timeout_ms", "is more than query.max_timeout_ms" };
    }
    if (settings.lease < settings.heartbeat * min_heartbeats_per_lease) {
        return settings_error { file, lineOf(document, "membership", "lease_ms"),
                                "membership.lease_ms",
                                "is less than three times membership.heartbeat_ms" };
    }
    return std::nullopt;
}

} // namespace

tl::expected<node_settings, settings_error> parseNodeSettings(const std::string &file,
                                                              const std::string &text)
{
    const auto document = ini_document::parse(file, text);
    if (!document)
        return tl::unexpected(document.error());
    for (const auto &[keyPath, value] : document->values()) {
        if (!isKnown(keyPath)) {
            return tl::unexpected(settings_error {
                file, value.line, keyPath.first + "." + keyPath.second, "unknown key" });
        }
    }
    for (const setting_definition &definition : settingDefinitions()) {
        const auto *value
            = document->find(std::string(definition.section), std::string(definition.key));
        if (!value && definition.defaultValue.empty())
            return tl::unexpected(
                settings_error { file, 0, fullName(definition), "missing value" });
        if (!value)
            continue;
        if (const auto result = checkValue(definition, value->text); !result) {
            return tl::unexpected(
                settings_error { file, value->line, fullName(definition), result.error() });
        }
    }
    const node_settings settings = toSettings(*document);
    if (const auto error = checkConsistency(file, *document, settings))
        return tl::unexpected(*error);
    return settings;
}

tl::expected<node_settings, settings_error> readNodeSettings(const std::string &file)
{
    std::ifstream input(file);
    if (!input)
        return tl::unexpected(settings_error { file, 0, "file", "cannot be read" });
    std::ostringstream text;
    text << input.rdbuf();
    return parseNodeSettings(file, text.str());
}

} // namespace gooseberrymoor
