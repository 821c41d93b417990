#pragma once

#include <tl/expected.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrymoor {

// One record of a CSV text. Value type.
struct csv_record
{
    std::size_t line = 0; // on which it begins, from 1
    std::vector<std::string> fields;
};

// Where a text stops being CSV. Value type.
struct csv_error
{
    std::size_t line = 0;
    std::string problem;
};

// Reads CSV as RFC 4180 describes it: quoted fields may hold commas, line ends and doubled quotes.
// A byte-order mark and empty lines are passed over; lines end in LF or CRLF.
tl::expected<std::vector<csv_record>, csv_error> parseCsv(std::string_view text);

} // namespace gooseberrymoor
