#pragma once

#include <cstdint>

namespace gooseberrymoor {

// One of the store's histories. A store that comes back from an older copy of its data begins a new
// one, with a greater era: what was written after the copy is lost, and revisions and lease ids are
// given out again. Revisions and leases mean something within their era only.
enum class store_era : std::uint64_t {
    first = 0, // also the only era of a store that doesn't tell it
};

} // namespace gooseberrymoor
