#pragma once

#include <cstddef>

namespace gooseberrymoor {

// The bytes that several messages may occupy together. Not thread-safe.
class byte_budget
{
public:
    explicit byte_budget(std::size_t limit) : m_limit(limit) { }

    // Reserves `bytes`; returns false, and reserves nothing, if that exceeds the limit.
    bool tryReserve(std::size_t bytes)
    {
        if (bytes > m_limit - m_used)
            return false;
        m_used += bytes;
        return true;
    }

    // Returns reserved bytes.
    void release(std::size_t bytes) { m_used -= bytes; }

    // The bytes that are reserved now.
    std::size_t used() const { return m_used; }

private:
    std::size_t m_limit;
    std::size_t m_used = 0;
};

} // namespace gooseberrymoor
