#include "mutator.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace gooseberrymoor {

namespace {

constexpr std::size_t max_mutations = 4; // of one variant
constexpr std::size_t nesting_depth = 10'000;
constexpr std::size_t long_text_bytes = 1'000'000;

constexpr std::array<std::string_view, 20> odd_numbers {
    "0",
    "-0",
    "-1",
    "1.5",
    "1e400",
    "-1e400",
    "1e300",
    "4294967296",
    "4000000000",
    "2147483648",
    "-2147483649",
    "NaN",
    "inf",
    "70000",
    "1e-400",
    "9223372036854775807",
    "9223372036854775808",
    "18446744073709551615",
    "18446744073709551616",
    "-9223372036854775808",
};

constexpr std::array<std::string_view, 12> odd_values {
    "null",        "true",        "{}",           "[]",
    "\"\"",        "\"\\u0000\"", "[[]]",         "\"10.0.0.1:70000\"",
    "\"[::1]:0\"", "\"host:1\"",  "\"\xff\xfe\"", "{\"a\":{\"a\":{}}}",
};

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

} // namespace

mutator::mutator(std::vector<std::string> samples, std::uint32_t seed)
    : m_samples(std::move(samples)), m_random(seed)
{
}

std::string mutator::next()
{
    std::string text = m_samples[below(m_samples.size())];
    const std::size_t mutations = 1 + below(max_mutations);
    for (std::size_t i = 0; i < mutations; ++i)
        mutate(text);
    return text;
}

std::size_t mutator::below(std::size_t limit)
{
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(m_random);
}

void mutator::mutate(std::string &text)
{
    if (text.empty()) {
        text.push_back(static_cast<char>(below(256)));
        return;
    }
    const std::size_t at = below(text.size());
    const std::size_t length = 1 + below(std::min<std::size_t>(text.size() - at, 16));
    switch (below(10)) {
    case 0:
        text[at] = static_cast<char>(below(256));
        break;
    case 1:
        text[at] = static_cast<char>(static_cast<unsigned char>(text[at]) ^ (1U << below(8)));
        break;
    case 2:
        text.erase(at, length);
        break;
    case 3:
        text.insert(at, text.substr(at, length));
        break;
    case 4:
        text.resize(at);
        break;
    case 5:
    case 6:
    case 7:
        replaceNumber(text);
        break;
    case 8:
        replaceValue(text);
        break;
    default:
        splice(text);
    }
}

// Replaces a number by one that a decoder may not be able to hold.
void mutator::replaceNumber(std::string &text)
{
    const auto from = text.begin() + static_cast<std::ptrdiff_t>(below(text.size()));
    const auto begin = std::find_if(from, text.end(), isDigit);
    const auto end = std::find_if_not(begin, text.end(), isDigit);
    text.replace(begin, end, odd_numbers[below(odd_numbers.size())]);
}

// Replaces what follows a colon or an equals sign by a value of another type or size.
void mutator::replaceValue(std::string &text)
{
    const std::size_t sign = text.find_first_of(":=", below(text.size()));
    if (sign == std::string::npos)
        return;
    const std::size_t end = std::min(text.find_first_of(",}]\n", sign), text.size());
    std::string value(odd_values[below(odd_values.size())]);
    const std::size_t kind = below(50);
    if (kind == 0)
        value = std::string(nesting_depth, '[');
    else if (kind == 1)
        value = "\"" + std::string(long_text_bytes, 'x') + "\"";
    text.replace(sign + 1, end - sign - 1, value);
}

// Continues the text with the rest of another sample.
void mutator::splice(std::string &text)
{
    const std::string &other = m_samples[below(m_samples.size())];
    text.resize(below(text.size()));
    if (!other.empty())
        text += other.substr(below(other.size()));
}

} // namespace gooseberrymoor
