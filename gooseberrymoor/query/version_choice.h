#pragma once

#include "gooseberrymoor/query/leaf_candidate.h"

#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace gooseberrymoor {

// Draws a version for the next leaf request and returns the indices of its candidates whose target
// names are not in `excluded`. The draw is weighted by the traffic shares of all versions that have
// a candidate, excluded ones included, so that hedges and retries bring a version no more than its
// share. If all candidates of the drawn version are excluded, the version with the largest share
// that has a candidate left replaces it, provided that its share is not smaller: a version with a
// small share never takes over the traffic of a larger one. Returns an empty vector if no candidate
// qualifies.
std::vector<std::size_t> chooseVersion(const std::vector<leaf_candidate> &candidates,
                                       const std::vector<std::string> &excluded,
                                       std::mt19937_64 &random);

} // namespace gooseberrymoor
