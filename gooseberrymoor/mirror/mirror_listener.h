#pragma once

#include <cstdint>
#include <string>

namespace gooseberrymoor {

// Learns what a `store_mirror` believes.
class mirror_listener
{
public:
    virtual ~mirror_listener() = default;

    // `key` has this value since `revision`.
    virtual void onValue(const std::string &key, const std::string &value, std::int64_t revision)
        = 0;

    // `key` is no longer there.
    virtual void onRemoved(const std::string &key) = 0;

    // Whether a write of `after` over `before` says anything new.
    virtual bool isSignificantChange(const std::string &before, const std::string &after) const
    {
        return before != after;
    }
};

} // namespace gooseberrymoor
