#include "gooseberrymoor/rollout/move_driver_choice.h"

#include "gooseberrymoor/membership/cell_view.h"

namespace gooseberrymoor {

std::string driverOf(const cell_view &view, const std::string &service)
{
    const member *driver = ownerOf(view, "moves/" + service);
    return driver ? driver->name : std::string();
}

} // namespace gooseberrymoor
