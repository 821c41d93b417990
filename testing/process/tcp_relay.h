#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/name_table.h"

#include <memory>

// What a relay does with the bytes of its connections.
enum class relay_mode {
    forward,
    drop_requests, // bytes from the client vanish
    drop_replies, // bytes to the client vanish: what was asked has its effect
    silent, // bytes vanish in both directions
};

constexpr gooseberrymoor::name_table<relay_mode, 4> names(relay_mode)
{
    return { { { relay_mode::forward, "forward" },
               { relay_mode::drop_requests, "drop_requests" },
               { relay_mode::drop_replies, "drop_replies" },
               { relay_mode::silent, "silent" } } };
}

// A place between two ends of a TCP connection that can lose bytes without closing anything.
// Runs on a thread of its own; its functions may be called from any thread.
class tcp_relay
{
public:
    // Listens on `local` and connects each accepted connection to `remote`.
    tcp_relay(const gooseberrymoor::endpoint &local, const gooseberrymoor::endpoint &remote);
    ~tcp_relay();
    tcp_relay(const tcp_relay &) = delete;
    tcp_relay &operator=(const tcp_relay &) = delete;

    // Mode of every connection, open ones and new ones.
    void setMode(relay_mode mode);

    // The connections that are open now go silent for good; new ones forward.
    void silenceOpenConnections();

    // Connections accepted so far.
    int accepted() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};
