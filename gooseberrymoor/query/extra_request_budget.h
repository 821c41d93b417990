#pragma once

namespace gooseberrymoor {

// Token bucket that bounds the leaf requests a node sends beyond the first one for each shard:
// hedges, retries, and the requests of a query that is restarted on another snapshot. Only first
// requests refill it, so the extra load stays a fixed share of them even when most targets fail.
// Not thread-safe.
class extra_request_budget
{
public:
    // Allows `extraPercent` extra requests for each 100 first requests; 0 allows none.
    explicit extra_request_budget(int extraPercent);

    // Refills the budget for one first request.
    void onFirstRequestSent();

    // Pays for one retry; returns false, and takes nothing, if the budget is exhausted. Retries may
    // also use the reserve that `tryTakeHedge` leaves.
    bool tryTakeRetry();

    // Pays for one hedge of a query that still waits for `openShards` shards; returns false, and
    // takes nothing, unless the budget could pay for hedges of all of them. Hedging one shard does
    // not speed up a query that other shards delay, so queries with few open shards go first.
    bool tryTakeHedge(int openShards);

    // Pays for `requests` at once and may overdraw the budget; returns false, and takes nothing, if
    // the debt would exceed its limit or the budget allows no extra requests.
    bool tryBorrow(int requests);

    // Requests that the budget could pay for now; negative while it is overdrawn.
    int available() const { return m_tokens / tokens_per_request; }

private:
    static constexpr int tokens_per_request = 100;

    int m_extraPercent;
    int m_tokens;
};

} // namespace gooseberrymoor
