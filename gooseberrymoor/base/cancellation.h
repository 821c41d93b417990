#pragma once

#include <functional>

namespace gooseberrymoor {

// Notifies the task that handles a request that the request was cancelled. Not thread-safe.
class cancellation
{
public:
    // Returns whether `cancel` was called.
    bool isCancelled() const { return m_cancelled; }

    // Cancels the request and calls the listener, if there is one. Later calls do nothing.
    void cancel()
    {
        if (m_cancelled)
            return;
        m_cancelled = true;
        if (m_listener)
            m_listener();
    }

    // Sets the function that `cancel` calls, in place of any earlier one; an empty function
    // removes it.
    void setListener(std::function<void()> listener) { m_listener = std::move(listener); }

private:
    std::function<void()> m_listener;
    bool m_cancelled = false;
};

} // namespace gooseberrymoor
