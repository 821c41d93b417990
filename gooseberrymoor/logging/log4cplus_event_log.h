#pragma once

#include "gooseberrymoor/base/event_log.h"

#include <memory>

namespace gooseberrymoor {

// Event log that writes to standard output through log4cplus. Not thread-safe.
class log4cplus_event_log : public event_log
{
public:
    explicit log4cplus_event_log(const std::string &nodeName);
    ~log4cplus_event_log() override;

    void write(std::string_view event, std::initializer_list<field> fields) override;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace gooseberrymoor
