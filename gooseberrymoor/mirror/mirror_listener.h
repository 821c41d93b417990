#pragma once

#include "gooseberrymoor/mirror/value_order.h"

#include <cstddef>
#include <cstdint>
#include <limits>
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

    // Size of the largest value that the listener can read. The mirror keeps and passes on a larger
    // one as an empty value, so that a malformed entry costs neither memory nor bandwidth.
    virtual std::size_t maxValueBytes() const { return std::numeric_limits<std::size_t>::max(); }

    // Whether replacing `before` with `after` matters to the listener. Other changes are not
    // reported.
    virtual bool isSignificantChange(const std::string &before, const std::string &after) const
    {
        return before != after;
    }

    // How `value` relates to `known` by what their writer says in them. Asked where the store came
    // back from an older copy, so that revisions can't tell.
    virtual value_order orderOf(const std::string &value, const std::string &known) const
    {
        return value == known ? value_order::not_older : value_order::unknown;
    }
};

} // namespace gooseberrymoor
