#pragma once

#include <random>

namespace gooseberrymoor {

class extra_request_budget;
class hedge_policy;
class leaf_observer;
class leaf_selector;
class snapshot_selector;

// What all queries of a node share; everything must outlive them.
struct query_policies
{
    leaf_selector &selector;
    hedge_policy &hedging;
    extra_request_budget &budget;
    snapshot_selector &snapshots;
    std::mt19937_64 &random; // for shares of versions and pauses before retries
    leaf_observer *observer = nullptr; // may be null
};

} // namespace gooseberrymoor
