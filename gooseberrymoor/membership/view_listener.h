#pragma once

namespace gooseberrymoor {

struct cell_view;

// Is notified of each new view of the cell.
class view_listener
{
public:
    virtual ~view_listener() = default;

    // Called when `view` has become the newest known view.
    virtual void onViewChanged(const cell_view &view) = 0;
};

} // namespace gooseberrymoor
