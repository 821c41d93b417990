#pragma once

#include <cstdint>
#include <string_view>

namespace gooseberrymoor {

// Returns the weight of `candidate` for `item` in rendezvous (highest random weight) hashing: the
// item is assigned to the candidate with the highest weight. Adding or removing a candidate only
// reassigns the items that this candidate wins or had. The result is the same in every process.
std::uint64_t rendezvousWeight(std::string_view candidate, std::string_view item);

} // namespace gooseberrymoor
