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

// Reads a text from left to right; any fault makes it fail for good.
class timestamp_parser
{
public:
    explicit timestamp_parser(std::string_view text) : m_rest(text) { }

    bool failed() const { return m_failed; }
    bool atEnd() const { return m_rest.empty(); }

    bool take(char wanted)
    {
        if (m_rest.empty() || m_rest.front() != wanted)
            return false;
        m_rest.remove_prefix(1);
        return true;
    }

    void expect(char wanted)
    {
        if (!take(wanted))
            m_failed = true;
    }

    int number(std::size_t digits, int highest)
    {
        int value = 0;
        const std::string_view text = m_rest.substr(0, digits);
        const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
        const bool whole = fault == std::errc() && end == text.data() + digits;
        if (!whole || value < 0 || value > highest) {
            m_failed = true;
            return 0;
        }
        m_rest.remove_prefix(digits);
        return value;
    }

private:
    std::string_view m_rest;
    bool m_failed = false;
};

std::chrono::minutes offsetFrom(timestamp_parser &cursor)
{
    if (cursor.take('Z'))
        return std::chrono::minutes(0);
    const bool east = cursor.take('+');
    if (!east)
        cursor.expect('-');
    const std::chrono::hours hours(cursor.number(2, max_hour));
    cursor.expect(':');
    const std::chrono::minutes offset = hours + std::chrono::minutes(cursor.number(2, max_minute));
    return east ? offset : -offset;
}

} // namespace

wall_time wallNow()
{
    return std::chrono::time_point_cast<wall_time::duration>(std::chrono::system_clock::now());
}

std::optional<wall_time> parseWallTime(std::string_view text)
{
    timestamp_parser cursor(text);
    const std::chrono::year year(cursor.number(4, 9999));
    cursor.expect('-');
    const std::chrono::month month(static_cast<unsigned>(cursor.number(2, 12)));
    cursor.expect('-');
    const std::chrono::day day(static_cast<unsigned>(cursor.number(2, 31)));
    cursor.expect('T');
    std::chrono::milliseconds ofDay = std::chrono::hours(cursor.number(2, max_hour));
    cursor.expect(':');
    ofDay += std::chrono::minutes(cursor.number(2, max_minute));
    if (cursor.take(':'))
        ofDay += std::chrono::seconds(cursor.number(2, max_second));
    if (cursor.take('.'))
        ofDay += std::chrono::milliseconds(cursor.number(millisecond_digits, max_millisecond));
    const std::chrono::minutes offset = offsetFrom(cursor);
    const std::chrono::year_month_day date(year, month, day);
    if (cursor.failed() || !cursor.atEnd() || !date.ok())
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
