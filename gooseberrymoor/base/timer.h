#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace gooseberrymoor {

// How Asio waits on `millis_clock`: with a manual clock it polls without sleeping.
struct timer_traits
{
    static duration to_wait_duration(const duration &remaining)
    {
        return millis_clock::isManual() ? duration(0) : remaining;
    }
    static duration to_wait_duration(const time_point &expiry)
    {
        return to_wait_duration(expiry - millis_clock::now());
    }
};

// A timer on the project's clock. Not thread-safe.
using timer = boost::asio::basic_waitable_timer<millis_clock, timer_traits>;

} // namespace gooseberrymoor
