#pragma once

#include <string>

namespace gooseberrymoor {

// Why a settings file was refused. `line` is 0 where no line is at fault (a missing key).
struct settings_error
{
    std::string file;
    int line = 0;
    std::string key;
    std::string reason;

    // "file:line: key: reason", for people.
    std::string text() const
    {
        return file + ":" + std::to_string(line) + ": " + key + ": " + reason;
    }
};

} // namespace gooseberrymoor
