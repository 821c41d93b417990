#pragma once

#include <string>

namespace gooseberrymoor {

// Why a settings file was rejected. `line` is 0 if the error has no line, such as a missing key.
struct settings_error
{
    std::string file;
    int line = 0;
    std::string key;
    std::string reason;

    // Human-readable text of the form "file:line: key: reason".
    std::string text() const
    {
        return file + ":" + std::to_string(line) + ": " + key + ": " + reason;
    }
};

} // namespace gooseberrymoor
