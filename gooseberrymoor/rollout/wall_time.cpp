#include "gooseberrymoor/rollout/wall_time.h"

#include <charconv>
#include <cstdint>
#include <cstdio>

namespace gooseberrymoor {

namespace {

constexpr int max_hour = 23;
constexpr int max_minute = 59;
constexpr int max_second = 59;
constexpr int max_millisecond = 999;
constexpr int millisecond_digits = 3;

// Parses a timestamp from left to right. `failed` stays true after the first error.
class timestamp_parser
{
public:
    explicit timestamp_parser(std::string_view text) : m_remaining(text) { }

    bool failed() const { return m_failed; }
    bool atEnd() const { return m_remaining.empty(); }

    bool consumeIf(char expected)
    {
        if (m_remaining.empty() || m_remaining.front() != expected)
            return false;
        m_remaining.remove_prefix(1);
        return true;
    }

    void expect(char expected)
    {
        if (!consumeIf(expected))
            m_failed = true;
    }

    int parseNumber(std::size_t digits, int maxValue)
    {
        int value = 0;
        const std::string_view text = m_remaining.substr(0, digits);
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        const bool isComplete = error == std::errc() && end == text.data() + digits;
        if (!isComplete || value < 0 || value > maxValue) {
            m_failed = true;
            return 0;
        }
        m_remaining.remove_prefix(digits);
        return value;
    }

private:
    std::string_view m_remaining;
    bool m_failed = false;
};

std::chrono::minutes parseOffset(timestamp_parser &parser)
{
    if (parser.consumeIf('Z'))
        return std::chrono::minutes(0);
    const bool isPositive = parser.consumeIf('+');
    if (!isPositive)
        parser.expect('-');
    const std::chrono::hours hours(parser.parseNumber(2, max_hour));
    parser.expect(':');
    const std::chrono::minutes offset
        = hours + std::chrono::minutes(parser.parseNumber(2, max_minute));
    return isPositive ? offset : -offset;
}

} // namespace

wall_time wallNow()
{
    return std::chrono::time_point_cast<wall_time::duration>(std::chrono::system_clock::now());
}

std::optional<wall_time> parseWallTime(std::string_view text)
{
    timestamp_parser parser(text);
    const std::chrono::year year(parser.parseNumber(4, 9999));
    parser.expect('-');
    const std::chrono::month month(static_cast<unsigned>(parser.parseNumber(2, 12)));
    parser.expect('-');
    const std::chrono::day day(static_cast<unsigned>(parser.parseNumber(2, 31)));
    parser.expect('T');
    std::chrono::milliseconds ofDay = std::chrono::hours(parser.parseNumber(2, max_hour));
    parser.expect(':');
    ofDay += std::chrono::minutes(parser.parseNumber(2, max_minute));
    if (parser.consumeIf(':'))
        ofDay += std::chrono::seconds(parser.parseNumber(2, max_second));
    if (parser.consumeIf('.'))
        ofDay += std::chrono::milliseconds(parser.parseNumber(millisecond_digits, max_millisecond));
    const std::chrono::minutes offset = parseOffset(parser);
    const std::chrono::year_month_day date(year, month, day);
    if (parser.failed() || !parser.atEnd() || !date.ok())
        return std::nullopt;
    return wall_time(std::chrono::sys_days(date)) + ofDay - offset;
}

std::string toString(wall_time value)
{
    const auto days = std::chrono::floor<std::chrono::days>(value);
    const std::chrono::year_month_day date(days);
    const std::chrono::hh_mm_ss ofDay(value - days);
    char text[64];
    std::snprintf(
        text, sizeof text, "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ", static_cast<int>(date.year()),
        static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
        static_cast<int>(ofDay.hours().count()), static_cast<int>(ofDay.minutes().count()),
        static_cast<int>(ofDay.seconds().count()), static_cast<int>(ofDay.subseconds().count()));
    return text;
}

} // namespace gooseberrymoor
