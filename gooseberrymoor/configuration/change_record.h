#pragma once

#include <tl/expected.hpp>

#include <string>

namespace gooseberrymoor {

// Who changed the configuration and how, as the head key and the operation key tell. Value type.
struct change_record
{
    std::string operation; // unique to one try of one change
    std::string author;
    std::string what;

    bool operator==(const change_record &) const = default;
};

// JSON text of a record.
std::string encodeChangeRecord(const change_record &record);

// The inverse of `encodeChangeRecord`.
tl::expected<change_record, std::string> decodeChangeRecord(const std::string &text);

// One line for people: by whom, what, and the operation.
std::string describe(const change_record &record);

} // namespace gooseberrymoor
