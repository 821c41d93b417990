#include "gooseberrymoor/logging/pipe_appender.h"

#include <poll.h>
#include <unistd.h>

#include <climits>
#include <string>

namespace gooseberrymoor {

pipe_appender::~pipe_appender()
{
    destructorImpl();
}

void pipe_appender::append(const log4cplus::spi::InternalLoggingEvent &event)
{
    std::string text;
    if (m_dropped > m_reported)
        text = "event=lines_dropped count=" + std::to_string(m_dropped - m_reported) + "\n";
    text += formatEvent(event);
    if (writeLine(text))
        m_reported = m_dropped;
    else
        ++m_dropped;
}

// A write of up to PIPE_BUF bytes to a pipe that polls as writable does not block.
bool pipe_appender::writeLine(const std::string &line) const
{
    if (line.size() > PIPE_BUF)
        return false;
    pollfd output { m_descriptor, POLLOUT, 0 };
    if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0)
        return false;
    return ::write(m_descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

} // namespace gooseberrymoor
