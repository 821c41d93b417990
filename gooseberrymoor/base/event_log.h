#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace gooseberrymoor {

// Logs state changes, one line each. Frequent events are counted in `counters` instead.
class event_log
{
public:
    using field = std::pair<std::string_view, std::string>;

    virtual ~event_log() = default;

    // Writes the line "event=<event>", followed by "key=value" for each field. Event names are
    // stable.
    virtual void write(std::string_view event, std::initializer_list<field> fields) = 0;
};

} // namespace gooseberrymoor
