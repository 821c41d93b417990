#pragma once

namespace gooseberrymoor {

struct cell_view;

// What wants to know of each new view of its cell.
class view_listener
{
public:
    virtual ~view_listener() = default;

    // `view` is now the newest known.
    virtual void onViewChanged(const cell_view &view) = 0;
};

} // namespace gooseberrymoor
