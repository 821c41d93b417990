#include "gooseberrymoor/settings/node_settings.h"

#include "gooseberrymoor/settings/ini_document.h"
#include "gooseberrymoor/settings/setting_key.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace gooseberrymoor {

namespace {

constexpr std::string_view no_addresses = "none";

using checked = tl::expected<void, std::string>;

constexpr int fewest_heartbeats_per_lease = 3;

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

checked checkEndpoint(const std::string &text)
{
    if (!parseEndpoint(text))
        return tl::unexpected("\"" + text + "\" is no IP number with a port");
    return {};
}

checked checkNumber(const setting_key &key, const std::string &text)
{
    const auto value = parseNumber(text);
    if (!value)
        return tl::unexpected("\"" + text + "\" is no whole number");
    if (*value < key.lowest || *value > key.highest) {
        return tl::unexpected(text + " is outside " + std::to_string(key.lowest) + " to "
                              + std::to_string(key.highest));
    }
    return {};
}

checked checkValue(const setting_key &key, const std::string &text)
{
    switch (key.kind) {
    case setting_kind::name:
        if (!isName(text))
            return tl::unexpected("\"" + text + "\" is no name of letters, digits, '-', '_', '.'");
        return {};
    case setting_kind::endpoint:
        return checkEndpoint(text);
    case setting_kind::optional_endpoint_list:
        if (text == no_addresses)
            return {};
        [[fallthrough]];
    case setting_kind::endpoint_list:
        for (const std::string &part : splitList(text)) {
            if (const auto result = checkEndpoint(part); !result)
                return result;
        }
        return {};
    case setting_kind::number:
        return checkNumber(key, text);
    }
    return tl::unexpected(std::string("unknown kind"));
}

std::string fullName(const setting_key &key)
{
    return std::string(key.section) + "." + std::string(key.key);
}

bool isKnown(const ini_document::path &where)
{
    return std::ranges::any_of(settingKeys(), [&where](const setting_key &key) {
        return key.section == where.first && key.key == where.second;
    });
}

// The text of one setting: what the file says, else the default.
std::string textOf(const ini_document &document, std::string_view section, std::string_view key)
{
    if (const auto *value = document.find(std::string(section), std::string(key)))
        return value->text;
    const auto row = std::ranges::find_if(settingKeys(), [&](const setting_key &candidate) {
        return candidate.section == section && candidate.key == key;
    });
    return row == settingKeys().end() ? std::string() : std::string(row->defaultValue);
}

duration millisOf(const ini_document &document, std::string_view section, std::string_view key)
{
    return duration(parseNumber(textOf(document, section, key)).value_or(0));
}

std::int64_t numberOf(const ini_document &document, std::string_view section, std::string_view key)
{
    return parseNumber(textOf(document, section, key)).value_or(0);
}

std::vector<endpoint> optionalEndpoints(const std::string &text)
{
    std::vector<endpoint> endpoints;
    if (text == no_addresses)
        return endpoints;
    for (const std::string &part : splitList(text))
        endpoints.push_back(*parseEndpoint(part));
    return endpoints;
}

node_settings toSettings(const ini_document &document)
{
    node_settings settings;
    settings.name = textOf(document, "node", "name");
    settings.cell = textOf(document, "node", "cell");
    settings.availabilityZone = textOf(document, "node", "availability_zone");
    settings.peerAddress = *parseEndpoint(textOf(document, "node", "peer_address"));
    settings.entryAddress = *parseEndpoint(textOf(document, "node", "entry_address"));
    for (const std::string &part : splitList(textOf(document, "store", "addresses")))
        settings.storeAddresses.push_back(*parseEndpoint(part));
    settings.seedPeers = optionalEndpoints(textOf(document, "node", "seed_peers"));
    settings.storeSlowPollInterval = millisOf(document, "store", "slow_poll_ms");
    settings.storeWatchTimeout = millisOf(document, "store", "watch_ms");
    settings.storeReaderCount = static_cast<int>(numberOf(document, "store", "readers"));
    settings.announce = millisOf(document, "configuration", "announce_ms");
    settings.isolation = millisOf(document, "configuration", "isolation_ms");
    settings.storePollInterval = millisOf(document, "store", "poll_ms");
    settings.storeTimeout = millisOf(document, "store", "timeout_ms");
    settings.heartbeat = millisOf(document, "membership", "heartbeat_ms");
    settings.lease = millisOf(document, "membership", "lease_ms");
    settings.directoryTtl = millisOf(document, "entry", "directory_ttl_ms");
    settings.maxBodyBytes = static_cast<std::size_t>(numberOf(document, "entry", "max_body_bytes"));
    settings.maxQueries = static_cast<std::size_t>(numberOf(document, "entry", "max_queries"));
    settings.defaultTimeout = millisOf(document, "query", "default_timeout_ms");
    settings.maxTimeout = millisOf(document, "query", "max_timeout_ms");
    settings.hedgePercent = static_cast<int>(numberOf(document, "query", "hedge_percent"));
    settings.linger = millisOf(document, "shutdown", "linger_ms");
    return settings;
}

// The line of a setting, 0 if it has its default.
int lineOf(const ini_document &document, const std::string &section, const std::string &key)
{
    const ini_value *value = document.find(section, key);
    return value ? value->line : 0;
}

// What no single value shows to be wrong.
std::optional<settings_error> checkTogether(const std::string &file, const ini_document &document,
                                            const node_settings &settings)
{
    // Callers use a leaving node until the last answer of the directory that names it has lapsed.
    const duration shortest = settings.directoryTtl + settings.storePollInterval;
    if (settings.linger < shortest) {
        return settings_error { file, lineOf(document, "shutdown", "linger_ms"),
                                "shutdown.linger_ms",
                                "is less than entry.directory_ttl_ms + store.poll_ms, "
                                    + std::to_string(shortest.count()) };
    }
    if (settings.defaultTimeout > settings.maxTimeout) {
        return settings_error { file, lineOf(document, "query", "default_timeout_ms"),
                                "query.default_timeout_ms", "is more than query.max_timeout_ms" };
    }
    if (settings.lease < settings.heartbeat * fewest_heartbeats_per_lease) {
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
    for (const auto &[where, value] : document->values()) {
        if (!isKnown(where)) {
            return tl::unexpected(settings_error {
                file, value.line, where.first + "." + where.second, "unknown key" });
        }
    }
    for (const setting_key &key : settingKeys()) {
        const auto *value = document->find(std::string(key.section), std::string(key.key));
        if (!value && key.defaultValue.empty())
            return tl::unexpected(settings_error { file, 0, fullName(key), "missing value" });
        if (!value)
            continue;
        if (const auto result = checkValue(key, value->text); !result) {
            return tl::unexpected(
                settings_error { file, value->line, fullName(key), result.error() });
        }
    }
    const node_settings settings = toSettings(*document);
    if (const auto error = checkTogether(file, *document, settings))
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
