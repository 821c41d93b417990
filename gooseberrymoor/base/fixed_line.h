#pragma once

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace gooseberrymoor {

// A line of text of limited length that is built without allocating memory. Text beyond the limit
// is cut off. Not thread-safe; usable in a signal handler.
class fixed_line
{
public:
    static constexpr std::size_t max_bytes = 1024; // including the newline

    std::string_view text() const { return { m_bytes.data(), m_size }; }

    void append(std::string_view text)
    {
        for (const char c : text)
            append(c);
    }

    // Appends `text` in double quotes, escaped, with spaces for control characters.
    void appendQuoted(std::string_view text)
    {
        append('"');
        for (const char c : text.substr(0, max_quoted_bytes)) {
            if (c == '"' || c == '\\')
                append('\\');
            append(static_cast<unsigned char>(c) < ' ' ? ' ' : c);
        }
        append('"');
    }

    // Appends `value` in decimal, with leading zeros up to `width` digits.
    void appendNumber(std::uint64_t value, std::size_t width = 1)
    {
        std::array<char, 20> digits {}; // enough for 2^64
        const auto [end, error]
            = std::to_chars(digits.data(), digits.data() + digits.size(), value);
        const auto length = static_cast<std::size_t>(end - digits.data());
        for (std::size_t i = length; i < width; ++i)
            append('0');
        append(std::string_view(digits.data(), length));
    }

    // Ends the line.
    void end() { m_bytes[m_size++] = '\n'; }

private:
    static constexpr std::size_t max_quoted_bytes = 256; // before escaping

    void append(char c)
    {
        if (m_size + 1 < max_bytes) // leaves room for the newline
            m_bytes[m_size++] = c;
    }

    std::array<char, max_bytes> m_bytes {};
    std::size_t m_size = 0;
};

} // namespace gooseberrymoor
