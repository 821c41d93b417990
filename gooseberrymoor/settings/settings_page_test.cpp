#include "gooseberrymoor/settings/settings_page.h"

#include "gooseberrymoor/settings/node_settings.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

using namespace gooseberrymoor;

namespace {

const std::filesystem::path source_folder = SOURCE_FOLDER;

std::string readFile(const std::filesystem::path &file)
{
    std::ifstream input(file);
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

// Reads the settings of all nodes of an example site.
std::vector<node_settings> readNodes(const std::string &site)
{
    std::vector<node_settings> nodes;
    for (const auto &file :
         std::filesystem::directory_iterator(source_folder / "examples" / site)) {
        if (file.path().extension() != ".ini")
            continue;
        const auto settings = readNodeSettings(file.path().string());
        INFO(file.path().string());
        REQUIRE(settings);
        nodes.push_back(*settings);
    }
    return nodes;
}

} // namespace

TEST_CASE("Settings are documented")
{
    SUBCASE("docs/SETTINGS.md is up to date")
    {
        CHECK(readFile(source_folder / "docs" / "SETTINGS.md") == settingsPage());
    }
    SUBCASE("the example sites are valid")
    {
        for (const std::string site : { "malaysia", "riga" }) {
            const auto nodes = readNodes(site);
            CHECK(nodes.size() >= 8);
            CHECK(nodes.size() <= 9);
            std::set<std::string> names;
            std::set<std::string> zones;
            std::set<endpoint> addresses;
            for (const node_settings &node : nodes) {
                CHECK(node.cell == site);
                names.insert(node.name);
                zones.insert(node.availabilityZone);
                addresses.insert(node.peerAddress);
                addresses.insert(node.entryAddress);
            }
            CHECK(names.size() == nodes.size());
            CHECK(zones.size() == 3);
            CHECK(addresses.size() == nodes.size() * 2);
            for (const node_settings &node : nodes) {
                CHECK(node.seedPeers.size() == 3);
                for (const endpoint &seed : node.seedPeers)
                    CHECK(addresses.contains(seed));
            }
        }
    }
    SUBCASE("the list of seed peers may be empty")
    {
        const std::string text = "[node]\nname = n1\navailability_zone = kl-a\n"
                                 "peer_address = 127.0.0.1:7001\nentry_address = 127.0.0.1:8001\n"
                                 "seed_peers = none\n[store]\naddresses = 127.0.0.1:2379\n";
        const auto settings = parseNodeSettings("n.ini", text);
        REQUIRE(settings);
        CHECK(settings->seedPeers.empty());
    }
}
