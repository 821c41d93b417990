#pragma once

namespace gooseberrymoor {

// Is notified when a newer configuration becomes active at this node.
class configuration_listener
{
public:
    virtual ~configuration_listener() = default;

    // Called after a newer configuration has become active.
    virtual void onConfigurationActivated() = 0;
};

} // namespace gooseberrymoor
