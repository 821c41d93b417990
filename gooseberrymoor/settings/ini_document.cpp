#include "gooseberrymoor/settings/ini_document.h"

#include <boost/algorithm/string/trim.hpp>
#include <boost/property_tree/ini_parser.hpp>

#include <sstream>

namespace gooseberrymoor {

namespace {

namespace pt = boost::property_tree;

// Finds the line number of each key.
std::map<ini_document::key_path, int> findKeyLines(const std::string &text)
{
    std::map<ini_document::key_path, int> lines;
    std::istringstream input(text);
    std::string line;
    std::string section;
    for (int number = 1; std::getline(input, line); ++number) {
        boost::algorithm::trim(line);
        if (line.size() > 1 && line.front() == '[')
            section = boost::algorithm::trim_copy(line.substr(1, line.find(']') - 1));
        const std::size_t equals = line.find('=');
        if (equals != std::string::npos)
            lines[{ section, boost::algorithm::trim_copy(line.substr(0, equals)) }] = number;
    }
    return lines;
}

} // namespace

tl::expected<ini_document, settings_error> ini_document::parse(const std::string &file,
                                                               const std::string &text)
{
    pt::ptree tree;
    try {
        std::istringstream input(text);
        pt::read_ini(input, tree);
    } catch (const pt::ini_parser_error &error) {
        return tl::unexpected(
            settings_error { file, static_cast<int>(error.line()), "syntax", error.message() });
    }
    const auto lines = findKeyLines(text);
    const auto lineOf = [&lines](const key_path &keyPath) {
        const auto found = lines.find(keyPath);
        return found == lines.end() ? 0 : found->second;
    };
    ini_document document;
    for (const auto &[section, children] : tree) {
        if (children.empty() && !children.data().empty()) {
            const key_path keyPath { "", section };
            document.m_values[keyPath] = { children.data(), lineOf(keyPath) };
        }
        for (const auto &[key, value] : children) {
            const key_path keyPath { section, key };
            document.m_values[keyPath] = { value.data(), lineOf(keyPath) };
        }
    }
    return document;
}

const ini_value *ini_document::find(const std::string &section, const std::string &key) const
{
    const auto found = m_values.find({ section, key });
    return found == m_values.end() ? nullptr : &found->second;
}

} // namespace gooseberrymoor
