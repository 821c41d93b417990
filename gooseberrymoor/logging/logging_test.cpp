#include "gooseberrymoor/base/manual_clock.h"
#include "gooseberrymoor/logging/pipe_appender.h"
#include "gooseberrymoor/logging/rate_limited_event_log.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <unistd.h>

#include <array>
#include <string>
#include <vector>

using namespace gooseberrymoor;

namespace {

class recording_event_log : public event_log
{
public:
    void write(std::string_view event, std::initializer_list<field> fields) override
    {
        std::string line(event);
        for (const auto &[key, value] : fields)
            line += " " + std::string(key) + "=" + value;
        lines.push_back(line);
    }
    std::vector<std::string> lines;
};

} // namespace

TEST_CASE("Log lines are rate-limited per event")
{
    manual_clock clock;
    recording_event_log recorder;
    rate_limited_event_log log(recorder, { 2, 3 });
    for (int i = 0; i < 10; ++i)
        log.write("hedged", { { "request", std::to_string(i) } });

    SUBCASE("a burst of one event is written up to the limit")
    {
        CHECK(recorder.lines.size() == 3);
        SUBCASE("and does not reduce the limit of other events")
        {
            log.write("refused", {});
            CHECK(recorder.lines.back() == "refused");
        }
        SUBCASE("and the number of suppressed lines is logged before the next line of that event")
        {
            clock.advance(duration(500));
            log.write("hedged", { { "request", "11" } });
            REQUIRE(recorder.lines.size() == 5);
            CHECK(recorder.lines[3] == "lines_left_out of=hedged count=7");
            CHECK(recorder.lines[4] == "hedged request=11");
        }
    }
}

TEST_CASE("Logging to a pipe that nobody reads does not block")
{
    const log4cplus::Initializer initializer;
    std::array<int, 2> pipe {};
    REQUIRE(::pipe(pipe.data()) == 0);
    auto *appender = new pipe_appender(pipe[1]);
    log4cplus::SharedAppenderPtr shared(appender);
    shared->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    log4cplus::Logger logger = log4cplus::Logger::getInstance("pipe_test");
    logger.removeAllAppenders();
    logger.addAppender(shared);

    const std::string line(200, 'x');
    constexpr int linesWritten = 2000;
    for (int i = 0; i < linesWritten; ++i)
        LOG4CPLUS_INFO(logger, line);

    SUBCASE("lines that do not fit into the pipe are dropped and counted")
    {
        CHECK(appender->dropped() > 0);
        CHECK(appender->dropped() < linesWritten);
        SUBCASE("and the count is logged once the pipe has room again")
        {
            std::string received(1'000'000, '\0');
            const auto size = ::read(pipe[0], received.data(), received.size());
            REQUIRE(size > 0);
            LOG4CPLUS_INFO(logger, "after");
            const auto next = ::read(pipe[0], received.data(), received.size());
            REQUIRE(next > 0);
            received.resize(static_cast<std::size_t>(next));
            CHECK(received
                  == "event=lines_dropped count=" + std::to_string(appender->dropped())
                      + "\nafter\n");
        }
    }
    logger.removeAllAppenders();
    ::close(pipe[0]);
    ::close(pipe[1]);
}
