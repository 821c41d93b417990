#pragma once

#include "gooseberrymoor/settings/settings_error.h"

#include <tl/expected.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrymoor {

// One value of an INI file and the line it stands on.
struct ini_value
{
    std::string text;
    int line = 0;
};

// An INI file as sections of keys. Parsed by Boost.PropertyTree, which keeps no lines;
// these are found again in the text. Value type.
class ini_document
{
public:
    using path = std::pair<std::string, std::string>;

    // Reads `text`; the error names the line at fault.
    static tl::expected<ini_document, settings_error> parse(const std::string &file,
                                                            const std::string &text);

    // The value of `section`/`key`, or null.
    const ini_value *find(const std::string &section, const std::string &key) const;

    // All values by section and key.
    const std::map<path, ini_value> &values() const { return m_values; }

private:
    std::map<path, ini_value> m_values;
};

} // namespace gooseberrymoor
