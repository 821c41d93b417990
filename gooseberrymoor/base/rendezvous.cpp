#include "gooseberrymoor/base/rendezvous.h"

#include <xxhash.h>

namespace gooseberrymoor {

std::uint64_t rendezvousWeight(std::string_view candidate, std::string_view item)
{
    const std::uint64_t seed = XXH3_64bits(candidate.data(), candidate.size());
    return XXH3_64bits_withSeed(item.data(), item.size(), seed);
}

} // namespace gooseberrymoor
