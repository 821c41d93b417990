#pragma once

#include <string_view>

namespace gooseberrymoor {

// A condition of a library that did not hold, and where it stands. Value type.
struct failed_assertion
{
    std::string_view condition;
    std::string_view file;
    long line = 0;
};

using assertion_listener = void (*)(const failed_assertion &failure);

// Sets the function that is called when an assertion of Boost fails, before the process aborts, in
// place of a message to standard error. It must not allocate memory or throw. Not thread-safe.
void setAssertionListener(assertion_listener listener);

} // namespace gooseberrymoor
