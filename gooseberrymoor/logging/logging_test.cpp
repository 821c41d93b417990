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

class recorded_log : public event_log
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

TEST_CASE("The volume of the log is bounded")
{
    manual_clock clock;
    recorded_log lines;
    rate_limited_event_log log(lines, { 2, 3 });
    for (int i = 0; i < 10; ++i)
        log.write("hedged", { { "request", std::to_string(i) } });

    SUBCASE("a burst of one event passes up to its limit")
    {
        CHECK(lines.lines.size() == 3);
        SUBCASE("and takes nothing from other events")
        {
            log.write("refused", {});
            CHECK(lines.lines.back() == "refused");
        }
        SUBCASE("and what was left out is told before the next line of it")
        {
            clock.advance(duration(500));
            log.write("hedged", { { "request", "11" } });
            REQUIRE(lines.lines.size() == 5);
            CHECK(lines.lines[3] == "lines_left_out of=hedged count=7");
            CHECK(lines.lines[4] == "hedged request=11");
        }
    }
}

TEST_CASE("Writing the log never waits for its reader")
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
    constexpr int moreThanAPipeHolds = 2000;
    for (int i = 0; i < moreThanAPipeHolds; ++i)
        LOG4CPLUS_INFO(logger, line);

    SUBCASE("lines for which there is no room are dropped and counted")
    {
        CHECK(appender->dropped() > 0);
        CHECK(appender->dropped() < moreThanAPipeHolds);
        SUBCASE("and the count is told once there is room again")
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
