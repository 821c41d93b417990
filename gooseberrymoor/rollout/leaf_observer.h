#pragma once

namespace gooseberrymoor {

struct leaf_observation;

// Receives the outcomes of leaf requests. Called from the task of the query, so it must return
// quickly.
class leaf_observer
{
public:
    virtual ~leaf_observer() = default;

    // A leaf request has ended, or was cancelled after `observation.latency`.
    virtual void onLeafEnded(const leaf_observation &observation) = 0;
};

} // namespace gooseberrymoor
