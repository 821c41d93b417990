#pragma once

#include <log4cplus/appender.h>

#include <cstdint>

namespace gooseberrymoor {

// Appends lines to a file descriptor without ever blocking: a line that does not fit into the pipe
// is dropped and counted, and the count is written before the next line that fits. A line that is
// longer than PIPE_BUF, together with the count if one is due, is always dropped. log4cplus
// serializes the calls of `append`.
class pipe_appender : public log4cplus::Appender
{
public:
    explicit pipe_appender(int descriptor) : m_descriptor(descriptor) { }
    ~pipe_appender() override;

    void close() override { closed = true; }

    // The number of lines dropped so far. Not synchronized with `append`.
    std::uint64_t dropped() const { return m_dropped; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    int m_descriptor;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported = 0; // dropped lines that were reported
};

} // namespace gooseberrymoor
