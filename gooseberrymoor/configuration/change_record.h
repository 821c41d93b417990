#pragma once

#include <tl/expected.hpp>

#include <string>

namespace gooseberrymoor {

// Who made a change of the configuration, and what it does; stored in the head key and in the
// operation key. Value type.
struct change_record
{
    std::string operation; // ID, unique to each attempt at a change
    std::string author;
    std::string what; // one-line summary

    bool operator==(const change_record &) const = default;
};

// Encodes a record as JSON.
std::string encodeChangeRecord(const change_record &record);

// Decodes what `encodeChangeRecord` wrote; the error describes malformed text.
tl::expected<change_record, std::string> decodeChangeRecord(const std::string &text);

// Returns one line with the author, the summary and the operation ID.
std::string describe(const change_record &record);

} // namespace gooseberrymoor
