#pragma once

namespace gooseberrymoor {

// The budget of all that a node sends beyond the first leaf request for a shard: hedges, retries,
// and the requests of a query that is asked again. It earns a share of the first requests, so
// extra load stays that share however bad things are. Not thread-safe.
class extra_request_budget
{
public:
    // `extraPercent` of the first requests may be sent again; 0 allows nothing extra.
    explicit extra_request_budget(int extraPercent);

    // A first request was sent: it earns its share.
    void onFirstSent();

    // Takes one retry; false if it cannot be paid. A part of the savings is kept for retries.
    bool takeRetry();

    // Takes one hedge for a query that lacks the answers of `open` shards. A hedge of one shard
    // brings a query nothing while others hold it up, so it is only given if the budget could pay
    // hedges for all of them: the queries that lack least come first.
    bool takeHedge(int open);

    // Takes `requests` at once, on credit if need be; false if the debt would grow too large.
    bool borrow(int requests);

    // Requests that could be paid now; negative while there is a debt.
    int available() const { return m_cents / cents_per_request; }

private:
    static constexpr int cents_per_request = 100;

    int m_extraPercent;
    int m_cents;
};

} // namespace gooseberrymoor
