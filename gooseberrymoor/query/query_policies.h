#pragma once

#include <random>

namespace gooseberrymoor {

class extra_request_budget;
class hedge_policy;
class leaf_observer;
class leaf_selector;
class snapshot_selector;

// The policies and state that all queries of a node share. All of it must outlive the queries.
struct query_policies
{
    leaf_selector &selector;
    hedge_policy &hedging;
    extra_request_budget &budget;
    snapshot_selector &snapshots;
    std::mt19937_64 &random; // draws versions and jitters the delay of retries
    leaf_observer *observer = nullptr; // optional
};

} // namespace gooseberrymoor
