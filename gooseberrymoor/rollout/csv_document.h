#pragma once

#include <tl/expected.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrymoor {

// One record of a CSV document. Value type.
struct csv_record
{
    std::size_t line = 0; // first line of the record, from 1
    std::vector<std::string> fields;
};

// A syntax error in a CSV document. Value type.
struct csv_error
{
    std::size_t line = 0; // first line of the malformed record, from 1
    std::string problem;
};

// Parses CSV as defined by RFC 4180: quoted fields may contain commas, line breaks and doubled
// quotes. Lines end in LF or CRLF. Skips a byte-order mark and empty lines.
tl::expected<std::vector<csv_record>, csv_error> parseCsv(std::string_view text);

} // namespace gooseberrymoor
