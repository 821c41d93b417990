#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace gooseberrymoor {

// The parts of a message in the order in which they arrive. None is empty.
using pieces = std::vector<std::string>;

// Formats `parts` for a test's messages, e.g. "ab|c".
inline std::string toText(const pieces &parts)
{
    std::string text;
    for (const std::string &part : parts)
        text += (text.empty() ? "" : "|") + part;
    return text;
}

// Returns `message` byte by byte.
inline pieces byteByByte(const std::string &message)
{
    pieces result;
    for (const char c : message)
        result.emplace_back(1, c);
    return result;
}

// Returns all ways to cut `message` in two.
inline std::vector<pieces> cutInTwo(const std::string &message)
{
    std::vector<pieces> result;
    for (std::size_t at = 1; at < message.size(); ++at)
        result.push_back({ message.substr(0, at), message.substr(at) });
    return result;
}

// Returns all ways to cut `message` in three.
inline std::vector<pieces> cutInThree(const std::string &message)
{
    std::vector<pieces> result;
    for (std::size_t first = 1; first + 1 < message.size(); ++first) {
        for (std::size_t second = first + 1; second < message.size(); ++second)
            result.push_back({ message.substr(0, first), message.substr(first, second - first),
                               message.substr(second) });
    }
    return result;
}

// Returns all of the above ways.
inline std::vector<pieces> allCuts(const std::string &message)
{
    std::vector<pieces> result = cutInTwo(message);
    const std::vector<pieces> inThree = cutInThree(message);
    result.insert(result.end(), inThree.begin(), inThree.end());
    result.push_back(byteByByte(message));
    return result;
}

} // namespace gooseberrymoor
