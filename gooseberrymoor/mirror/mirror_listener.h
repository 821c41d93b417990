#pragma once

#include <cstdint>
#include <string>

namespace gooseberrymoor {

// Receives the changes that a `store_mirror` applies.
class mirror_listener
{
public:
    virtual ~mirror_listener() = default;

    // `key` was set to `value` at `revision`.
    virtual void onValue(const std::string &key, const std::string &value, std::int64_t revision)
        = 0;

    // `key` was removed.
    virtual void onRemoved(const std::string &key) = 0;

    // Whether replacing `before` with `after` matters to the listener. Other changes are not
    // reported.
    virtual bool isSignificantChange(const std::string &before, const std::string &after) const
    {
        return before != after;
    }
};

} // namespace gooseberrymoor
