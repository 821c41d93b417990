#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace gooseberrymoor {

// Makes Asio wait on `millis_clock`. With a `manual_clock` it polls without sleeping.
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

// An Asio timer on `millis_clock`. Not thread-safe.
using timer = boost::asio::basic_waitable_timer<millis_clock, timer_traits>;

} // namespace gooseberrymoor
