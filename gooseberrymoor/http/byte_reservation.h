#pragma once

#include "gooseberrymoor/http/byte_budget.h"

#include <memory>

namespace gooseberrymoor {

// The share of a `byte_budget` that one message occupies, returned when this object is destroyed.
// The first bytes of each message are free, so that small messages pass while the budget is
// exhausted. Not thread-safe.
class byte_reservation
{
public:
    // `budget` may be null: the size is then unlimited.
    byte_reservation(std::shared_ptr<byte_budget> budget, std::size_t freeBytes)
        : m_budget(std::move(budget)), m_freeBytes(freeBytes)
    {
    }
    ~byte_reservation()
    {
        if (m_budget)
            m_budget->release(m_reserved);
    }
    byte_reservation(const byte_reservation &) = delete;
    byte_reservation &operator=(const byte_reservation &) = delete;

    // Grows the reservation to a message of `size` bytes; returns whether the budget allows it.
    bool growTo(std::size_t size)
    {
        if (!m_budget || size <= m_freeBytes + m_reserved)
            return true;
        const std::size_t missing = size - m_freeBytes - m_reserved;
        if (!m_budget->tryReserve(missing))
            return false;
        m_reserved += missing;
        return true;
    }

private:
    std::shared_ptr<byte_budget> m_budget;
    std::size_t m_freeBytes;
    std::size_t m_reserved = 0;
};

} // namespace gooseberrymoor
