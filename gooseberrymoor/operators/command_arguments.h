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

// The arguments of one command, as docopt read them. Errors name the argument, for people.
class command_arguments
{
public:
    // `values` must outlive this.
    explicit command_arguments(const std::map<std::string, docopt::value> &values)
        : m_values(values)
    {
    }

    // Whether the word or flag `name` was given.
    bool has(const std::string &name) const;

    // The text of `name`; empty if it was not given.
    std::string text(const std::string &name) const;

    // The whole number of `name`; nothing if it was not given.
    tl::expected<std::optional<std::int64_t>, std::string> number(const std::string &name) const;

    // The address of `name`.
    tl::expected<endpoint, std::string> address(const std::string &name) const;

    // The comma-separated addresses of `name`.
    tl::expected<std::vector<endpoint>, std::string> addresses(const std::string &name) const;

    // The text of the file that `name` names.
    tl::expected<std::string, std::string> fileText(const std::string &name) const;

private:
    const std::map<std::string, docopt::value> &m_values;
};

} // namespace gooseberrymoor
