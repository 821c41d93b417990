#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/name_table.h"

#include <memory>

// How a relay treats the bytes of its connections.
enum class relay_mode {
    forward,
    drop_requests, // drops the bytes from the client
    drop_replies, // drops the bytes to the client; requests still take effect
    silent, // drops the bytes of both directions
    repeat_replies, // sends the bytes to the client a second time, a little later
    cut_replies, // sends half of the next bytes to the client, then closes the connection
    chunk_replies, // sends HTTP replies in chunks and in pieces, and breaks some off at any byte
};

constexpr gooseberrymoor::name_table<relay_mode, 7> names(relay_mode)
{
    return { { { relay_mode::forward, "forward" },
               { relay_mode::drop_requests, "drop_requests" },
               { relay_mode::drop_replies, "drop_replies" },
               { relay_mode::silent, "silent" },
               { relay_mode::repeat_replies, "repeat_replies" },
               { relay_mode::cut_replies, "cut_replies" },
               { relay_mode::chunk_replies, "chunk_replies" } } };
}

// A TCP proxy that can drop, repeat and cut off what it forwards. Runs on its own thread; its
// functions may be called from any thread.
class tcp_relay
{
public:
    // Listens on `local` and forwards each accepted connection to `remote`.
    tcp_relay(const gooseberrymoor::endpoint &local, const gooseberrymoor::endpoint &remote);
    ~tcp_relay();
    tcp_relay(const tcp_relay &) = delete;
    tcp_relay &operator=(const tcp_relay &) = delete;

    // Sets the mode of all connections, open ones and new ones.
    void setMode(relay_mode mode);

    // Drops all further bytes of the open connections, permanently. New connections work.
    void silenceOpenConnections();

    // The number of connections accepted so far.
    int accepted() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};
