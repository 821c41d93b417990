#pragma once

#include <cstddef>
#include <string>

namespace gooseberrymoor {

// What is wrong with one row of a sheet, for people. Value type.
struct sheet_error
{
    std::size_t row = 0; // line of the file on which the row begins, from 1
    std::string column; // empty if the whole row is meant
    std::string problem;
    std::string advice; // what the planner should do

    bool operator==(const sheet_error &) const = default;
};

// "row 3, column kind: ...; advice".
std::string toString(const sheet_error &fault);

} // namespace gooseberrymoor
