#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

namespace gooseberrymoor {

class byte_budget;

// Limits on the size of a reply that an `http_connection` reads. A reply that exceeds one is a
// failed exchange. Value type.
struct reply_limits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 16ULL * 1024 * 1024;
    std::size_t freeBodyBytes = 32ULL * 1024; // of a body, not taken from the budget
    std::shared_ptr<byte_budget> bodyBudget; // shared by the bodies of several replies; may be null
};

} // namespace gooseberrymoor
