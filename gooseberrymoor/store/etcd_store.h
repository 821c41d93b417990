#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/http/http_message.h"
#include "gooseberrymoor/store/key_value_store.h"

#include <cstddef>
#include <vector>

namespace gooseberrymoor {

class counters;

// A store reached over the JSON form of the etcd v3 API. Each call has a connection of its own;
// after a failure the next call goes to the next address. Counts its calls and failures.
class etcd_store : public key_value_store
{
public:
    // `timeout` bounds one call. `events` must outlive the store.
    etcd_store(std::vector<endpoint> addresses, duration timeout, counters &events);

    asio::awaitable<tl::expected<store_read, store_error>> readPrefix(std::string prefix) override;
    asio::awaitable<tl::expected<transaction_result, store_error>>
    transact(store_transaction transaction) override;

private:
    asio::awaitable<tl::expected<std::string, store_error>> call(std::string path,
                                                                 std::string body);

    std::vector<endpoint> m_addresses;
    duration m_timeout;
    counters &m_events;
    std::size_t m_next = 0;
};

} // namespace gooseberrymoor
