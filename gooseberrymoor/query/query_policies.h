#pragma once

#include <random>

namespace gooseberrymoor {

class extra_budget;
class hedge_policy;
class leaf_observer;
class leaf_selector;
class snapshot_preference;

// What all queries of a node share; everything must outlive them.
struct query_policies
{
    leaf_selector &selector;
    hedge_policy &hedging;
    extra_budget &budget;
    snapshot_preference &snapshots;
    std::mt19937_64 &random; // for shares of versions and pauses before retries
    leaf_observer *observer = nullptr; // may be null
};

} // namespace gooseberrymoor
