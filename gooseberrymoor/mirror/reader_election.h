#pragma once

#include "gooseberrymoor/base/millis_clock.h"

namespace gooseberrymoor {

// Says which node reads the store for its peers.
class reader_election
{
public:
    virtual ~reader_election() = default;

    // Whether this node does, as far as it knows.
    virtual bool isReader(time_point now) const = 0;

    // Whether this node looks, for its peers too, if the store is back after it was lost.
    virtual bool isProber(time_point now) const = 0;

    // This node's last call to the store failed, or succeeded again.
    virtual void setStoreLost(bool lost) = 0;
    virtual bool isStoreLost() const = 0;
};

} // namespace gooseberrymoor
