#include "gooseberrymoor/operators/command_arguments.h"

#include <docopt/docopt.h>

#include <charconv>
#include <fstream>
#include <sstream>

namespace gooseberrymoor {

namespace {

tl::expected<endpoint, std::string> parseAddress(const std::string &name, const std::string &text)
{
    const auto parsed = parseEndpoint(text);
    if (!parsed)
        return tl::unexpected(name + ": \"" + text + "\" is not an IP address with a port");
    return *parsed;
}

} // namespace

bool command_arguments::has(const std::string &name) const
{
    const auto found = m_values.find(name);
    if (found == m_values.end() || !found->second)
        return false;
    return !found->second.isBool() || found->second.asBool();
}

std::string command_arguments::text(const std::string &name) const
{
    const auto found = m_values.find(name);
    if (found == m_values.end() || !found->second.isString())
        return "";
    return found->second.asString();
}

tl::expected<std::optional<std::int64_t>, std::string>
command_arguments::number(const std::string &name) const
{
    if (!has(name))
        return std::nullopt;
    const std::string value = text(name);
    std::int64_t number = 0;
    const char *end = value.data() + value.size();
    const auto [stop, error] = std::from_chars(value.data(), end, number);
    if (error != std::errc() || stop != end)
        return tl::unexpected(name + ": \"" + value + "\" is not an integer");
    return number;
}

tl::expected<endpoint, std::string> command_arguments::address(const std::string &name) const
{
    return parseAddress(name, text(name));
}

tl::expected<std::vector<endpoint>, std::string>
command_arguments::addresses(const std::string &name) const
{
    std::vector<endpoint> parsed;
    std::istringstream list(text(name));
    std::string part;
    while (std::getline(list, part, ',')) {
        auto address = parseAddress(name, part);
        if (!address)
            return tl::unexpected(address.error());
        parsed.push_back(*address);
    }
    if (parsed.empty())
        return tl::unexpected(name + ": no address given");
    return parsed;
}

tl::expected<std::string, std::string> command_arguments::fileText(const std::string &name) const
{
    const std::string file = text(name);
    std::ifstream input(file);
    if (!input)
        return tl::unexpected(file + ": cannot open the file");
    std::ostringstream content;
    content << input.rdbuf();
    return content.str();
}

} // namespace gooseberrymoor
