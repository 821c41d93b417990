#pragma once

#include "gooseberrymoor/store/era_order.h"
#include "gooseberrymoor/store/store_era.h"

#include <cstdint>
#include <optional>

namespace gooseberrymoor {

// The newest era of the store that this node knows of, from the answers to its calls and from its
// peers. Pure decision logic without I/O. Not thread-safe.
class store_era_tracker
{
public:
    // Records that an answer or a peer's update of `era` has arrived, and compares it with what was
    // known before. The first era that is seen is `current`.
    era_order onSeen(store_era era);

    // The same for an update of a peer that doesn't tell its era, since it runs an earlier build.
    // Once there has been more than one era, it may be of any of them and counts as older.
    era_order onSeen(std::optional<store_era> era);

    // The newest era seen; `first` before any was.
    store_era current() const { return m_current.value_or(store_era::first); }

    // The number of times that a newer era was seen.
    std::uint64_t changes() const { return m_changes; }

private:
    std::optional<store_era> m_current;
    std::uint64_t m_changes = 0;
};

} // namespace gooseberrymoor
