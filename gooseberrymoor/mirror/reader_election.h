#pragma once

#include "gooseberrymoor/base/millis_clock.h"

namespace gooseberrymoor {

// Determines which node reads the store on behalf of its peers.
class reader_election
{
public:
    virtual ~reader_election() = default;

    // Whether this node is the reader as far as it knows.
    virtual bool isReader(time_point now) const = 0;

    // Whether this node probes a lost store on behalf of its peers, too.
    virtual bool isProber(time_point now) const = 0;

    // Records whether this node's last call to the store failed.
    virtual void setStoreLost(bool lost) = 0;
    virtual bool isStoreLost() const = 0;
};

} // namespace gooseberrymoor
