#pragma once

#include <log4cplus/appender.h>

#include <cstdint>

namespace gooseberrymoor {

// Appends lines to a file descriptor and never waits for its reader: a line for which there is no
// room is dropped and counted, and the next line that goes out is preceded by the count.
// Thread-safe, as every log4cplus appender.
class pipe_appender : public log4cplus::Appender
{
public:
    explicit pipe_appender(int descriptor) : m_descriptor(descriptor) { }
    ~pipe_appender() override;

    void close() override { closed = true; }

    // Lines dropped since the start.
    std::uint64_t dropped() const { return m_dropped; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    bool writeLine(const std::string &line) const;

    int m_descriptor;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported = 0; // of the dropped ones
};

} // namespace gooseberrymoor
