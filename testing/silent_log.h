#pragma once

#include "gooseberrymoor/base/event_log.h"

namespace gooseberrymoor {

// Discards all events, for tests that do not check the log.
class silent_log : public event_log
{
public:
    void write(std::string_view, std::initializer_list<field>) override { }
};

} // namespace gooseberrymoor
