#include "gooseberrymoor/logging/pipe_appender.h"

#include "gooseberrymoor/base/nonblocking_write.h"

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
    if (writeWithoutBlocking(m_descriptor, text))
        m_reported = m_dropped;
    else
        ++m_dropped;
}

} // namespace gooseberrymoor
