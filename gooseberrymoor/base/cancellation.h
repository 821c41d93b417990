#pragma once

#include <functional>

namespace gooseberrymoor {

// Tells the task that works on a request that its answer is no longer wanted. Not thread-safe.
class cancellation
{
public:
    // Whether `cancel` was called.
    bool isCancelled() const { return m_cancelled; }

    // The answer is no longer wanted; calls the listener. Later calls do nothing.
    void cancel()
    {
        if (m_cancelled)
            return;
        m_cancelled = true;
        if (m_listener)
            m_listener();
    }

    // Calls `listener` when the answer is no longer wanted; an empty one takes the last away.
    void setListener(std::function<void()> listener) { m_listener = std::move(listener); }

private:
    std::function<void()> m_listener;
    bool m_cancelled = false;
};

} // namespace gooseberrymoor
