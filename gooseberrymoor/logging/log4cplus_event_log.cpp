#include "gooseberrymoor/logging/log4cplus_event_log.h"

#include "gooseberrymoor/logging/pipe_appender.h"

#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <unistd.h>

namespace gooseberrymoor {

namespace {

constexpr const char *line_pattern = "%D{%Y-%m-%dT%H:%M:%S.%q}Z %p node=%c %m%n";

bool needsQuotes(const std::string &value)
{
    return value.empty() || value.find_first_of(" \"=\n") != std::string::npos;
}

std::string quoteIfNeeded(const std::string &value)
{
    if (!needsQuotes(value))
        return value;
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            text += '\\';
        text += c == '\n' ? ' ' : c;
    }
    return text + "\"";
}

} // namespace

struct log4cplus_event_log::implementation
{
    log4cplus::Logger logger;
};

log4cplus_event_log::log4cplus_event_log(const std::string &nodeName)
    : m_implementation(std::make_unique<implementation>())
{
    // Never deinitialized: that would wait for the library's own threads.
    log4cplus::initialize();
    log4cplus::SharedAppenderPtr appender(new pipe_appender(STDOUT_FILENO));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(line_pattern));
    m_implementation->logger = log4cplus::Logger::getInstance(nodeName);
    m_implementation->logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
    m_implementation->logger.addAppender(appender);
}

log4cplus_event_log::~log4cplus_event_log() = default;

void log4cplus_event_log::write(std::string_view event, std::initializer_list<field> fields)
{
    std::string line = "event=" + std::string(event);
    for (const auto &[key, value] : fields)
        line += " " + std::string(key) + "=" + quoteIfNeeded(value);
    LOG4CPLUS_INFO(m_implementation->logger, line);
}

} // namespace gooseberrymoor
