#pragma once

#include "gooseberrymoor/settings/settings_error.h"

#include <tl/expected.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrymoor {

// A value in an INI file and its line number.
struct ini_value
{
    std::string text;
    int line = 0;
};

// A parsed INI file. Boost.PropertyTree parses it but does not record line numbers, so a second
// pass over the text finds them. Value type.
class ini_document
{
public:
    using key_path = std::pair<std::string, std::string>; // section, key

    // Parses `text`. `file` is only used in errors, which contain the line number.
    static tl::expected<ini_document, settings_error> parse(const std::string &file,
                                                            const std::string &text);

    // Returns the value of `section`/`key`, or null if absent.
    const ini_value *find(const std::string &section, const std::string &key) const;

    // All values by section and key.
    const std::map<key_path, ini_value> &values() const { return m_values; }

private:
    std::map<key_path, ini_value> m_values;
};

} // namespace gooseberrymoor
