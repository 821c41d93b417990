#include "gooseberrymoor/settings/settings_page.h"

#include "gooseberrymoor/settings/setting_key.h"

namespace gooseberrymoor {

namespace {

constexpr std::string_view page_head
    = "# Settings\n\n"
      "A node reads one INI file. `gooseberrymoor settings check FILE` checks it before a start;\n"
      "an error names the line and the key. A setting without a default is required. This page is\n"
      "printed by `gooseberrymoor settings list`, and a test compares the two.\n";

std::string formOf(const setting_key &key)
{
    switch (key.kind) {
    case setting_kind::name:
        return "name";
    case setting_kind::endpoint:
        return "IP:PORT";
    case setting_kind::endpoint_list:
        return "IP:PORT,...";
    case setting_kind::optional_endpoint_list:
        return "IP:PORT,... or `none`";
    case setting_kind::number:
        return std::to_string(key.lowest) + " to " + std::to_string(key.highest);
    }
    return "";
}

std::string rowOf(const setting_key &key)
{
    const std::string shown
        = key.defaultValue.empty() ? "required" : "`" + std::string(key.defaultValue) + "`";
    return "| `" + std::string(key.key) + "` | " + shown + " | " + formOf(key) + " | "
        + std::string(key.unit) + " | " + std::string(key.meaning) + " |\n";
}

} // namespace

std::string settingsPage()
{
    std::string page(page_head);
    std::string_view section;
    for (const setting_key &key : settingKeys()) {
        if (key.section != section) {
            section = key.section;
            page += "\n## [" + std::string(section)
                + "]\n\n"
                  "| key | default | values | unit | meaning |\n|---|---|---|---|---|\n";
        }
        page += rowOf(key);
    }
    return page;
}

} // namespace gooseberrymoor
