#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace gooseberrymoor {

// Writes a line for each change of state; what happens often is only counted.
class event_log
{
public:
    using field = std::pair<std::string_view, std::string>;

    virtual ~event_log() = default;

    // One line: event=`event`, then key=value for each field. Names of events are stable.
    virtual void write(std::string_view event, std::initializer_list<field> fields) = 0;
};

} // namespace gooseberrymoor
