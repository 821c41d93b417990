#pragma once

#include <cstddef>
#include <string>

namespace gooseberrymoor {

// An error in one row of a sheet, for the planner. Value type.
struct sheet_error
{
    std::size_t row = 0; // first line of the row in the file, from 1
    std::string column; // empty if the error concerns the whole row
    std::string problem;
    std::string advice; // how to correct the error

    bool operator==(const sheet_error &) const = default;
};

// Formats the error as "row 3, column kind: problem; advice".
std::string toString(const sheet_error &fault);

} // namespace gooseberrymoor
