#pragma once

#include "gooseberrymoor/query/leaf_candidate.h"

#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace gooseberrymoor {

// The candidates that the next leaf request may go to: those of one version that are not in
// `excluded` (target names), as indices; empty if there are none. The version is drawn by the
// shares of all versions that have a candidate, the excluded ones counted, so that hedges and
// retries bring a version no more than its share. If the version drawn has no candidate left, the
// version with the greatest share of those that are left takes over, provided that its share is no
// smaller; so a version with a small share never gets what another one was meant to get.
std::vector<std::size_t> chooseVersion(const std::vector<leaf_candidate> &candidates,
                                       const std::vector<std::string> &excluded,
                                       std::mt19937_64 &random);

} // namespace gooseberrymoor
