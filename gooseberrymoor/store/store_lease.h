#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/store/store_era.h"

#include <cstdint>

namespace gooseberrymoor {

// A lease that the store has granted. In a later era its id may belong to another owner. Value
// type.
struct store_lease
{
    std::int64_t id = 0; // 0 without a lease
    store_era era = store_era::first;
};

// The store's answer to the renewal of a lease.
struct lease_renewal
{
    duration remaining { 0 }; // zero if the lease has ended
    store_era era = store_era::first;
};

} // namespace gooseberrymoor
