#pragma once

#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/http/http_handler.h"

namespace gooseberrymoor {

// The path of one node to the store stand-in, which a test can cut. While it is cut, calls and
// answers are held back; the store and the paths of other nodes are not affected. Not thread-safe.
class store_path_stand_in : public http_handler
{
public:
    // `store` must outlive the path.
    store_path_stand_in(asio::any_io_executor executor, http_handler &store);

    asio::awaitable<http_reply> handle(http_request request) override;

    void setCut(bool cut);

private:
    http_handler &m_store;
    signal m_restored;
    bool m_isCut = false;
};

} // namespace gooseberrymoor
