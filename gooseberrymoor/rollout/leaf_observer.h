#pragma once

namespace gooseberrymoor {

struct leaf_observation;

// What wants to know how leaf requests end. Called by the task of the query; must be quick.
class leaf_observer
{
public:
    virtual ~leaf_observer() = default;

    // One leaf request has ended, or its answer was no longer wanted when it had taken so long.
    virtual void onLeafEnded(const leaf_observation &observation) = 0;
};

} // namespace gooseberrymoor
