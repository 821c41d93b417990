#include "target_settings.h"

#include "gooseberrymoor/settings/ini_document.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace gooseberrymoor;

namespace {

int numberAt(const ini_document &document, const char *key, int standard)
{
    const ini_value *value = document.find("target", key);
    return value ? std::atoi(value->text.c_str()) : standard;
}

} // namespace

tl::expected<target_settings, settings_error> readTargetSettings(const std::string &file)
{
    std::ifstream input(file);
    std::ostringstream text;
    text << input.rdbuf();
    const auto document = ini_document::parse(file, text.str());
    if (!document)
        return tl::unexpected(document.error());
    target_settings settings;
    const ini_value *listen = document->find("target", "listen");
    const auto address = listen ? parseEndpoint(listen->text) : std::nullopt;
    if (!address)
        return tl::unexpected(
            settings_error { file, 0, "target.listen", "no IP number with a port" });
    settings.listen = *address;
    if (const ini_value *snapshots = document->find("target", "snapshots"))
        boost::algorithm::split(settings.snapshots, snapshots->text, boost::is_any_of(","));
    settings.slots = numberAt(*document, "slots", settings.slots);
    settings.queue = numberAt(*document, "queue", settings.queue);
    settings.latency = duration(numberAt(*document, "latency_ms", 5));
    return settings;
}
