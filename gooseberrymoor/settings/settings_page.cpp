#include "gooseberrymoor/settings/settings_page.h"

#include "gooseberrymoor/settings/setting_definition.h"

namespace gooseberrymoor {

namespace {

constexpr std::string_view page_header
    = "# Settings\n\n"
      "A node reads one INI file. `gooseberrymoor settings check FILE` checks it before a start;\n"
      "an error names the line and the key. A setting without a default is required. This page is\n"
      "printed by `gooseberrymoor settings list`, and a test compares the two.\n";

std::string valueFormat(const setting_definition &definition)
{
    switch (definition.kind) {
    case setting_kind::name:
        return "name";
    case setting_kind::endpoint:
        return "IP:PORT";
    case setting_kind::endpoint_list:
        return "IP:PORT,...";
    case setting_kind::optional_endpoint_list:
        return "IP:PORT,... or `none`";
    case setting_kind::number:
        return std::to_string(definition.minValue) + " to " + std::to_string(definition.maxValue);
    }
    return "";
}

std::string tableRow(const setting_definition &definition)
{
    const std::string defaultText = definition.defaultValue.empty()
        ? "required"
        : "`" + std::string(definition.defaultValue) + "`";
    return "| `" + std::string(definition.key) + "` | " + defaultText + " | "
        + valueFormat(definition) + " | " + std::string(definition.unit) + " | "
        + std::string(definition.description) + " |\n";
}

} // namespace

std::string settingsPage()
{
    std::string page(page_header);
    std::string_view section;
    for (const setting_definition &definition : settingDefinitions()) {
        if (definition.section != section) {
            section = definition.section;
            page += "\n## [" + std::string(section)
                + "]\n\n"
                  "| key | default | values | unit | meaning |\n|---|---|---|---|---|\n";
        }
        page += tableRow(definition);
    }
    return page;
}

} // namespace gooseberrymoor
