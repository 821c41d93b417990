#pragma once

#include "gooseberrymoor/base/endpoint.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace docopt {
class value;
}

namespace gooseberrymoor {

// Typed access to the arguments of one command, as parsed by docopt. Errors are human-readable and
// name the argument.
class command_arguments
{
public:
    // `values` must outlive this object.
    explicit command_arguments(const std::map<std::string, docopt::value> &values)
        : m_values(values)
    {
    }

    // Whether the command, flag or option `name` was given.
    bool has(const std::string &name) const;

    // Returns the value of `name`; empty if it was not given.
    std::string text(const std::string &name) const;

    // Parses `name` as an integer; nullopt if it was not given.
    tl::expected<std::optional<std::int64_t>, std::string> number(const std::string &name) const;

    // Parses `name` as an address, IP:PORT.
    tl::expected<endpoint, std::string> address(const std::string &name) const;

    // Parses `name` as a comma-separated list of addresses; an empty list is an error.
    tl::expected<std::vector<endpoint>, std::string> addresses(const std::string &name) const;

    // Reads the file whose path is the value of `name`.
    tl::expected<std::string, std::string> fileText(const std::string &name) const;

private:
    const std::map<std::string, docopt::value> &m_values;
};

} // namespace gooseberrymoor
