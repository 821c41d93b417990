#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/http/http_connection.h"
#include "gooseberrymoor/http/http_message.h"
#include "gooseberrymoor/store/key_value_store.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrymoor {

class counters;

// A store reached over the JSON form of the etcd v3 API. Counts its calls and failures.
//
// Reads go over connections that are kept open between calls; one that fails or stays silent is
// closed and the read is tried once more on a new one. Transactions and leases have a connection
// of their own, so that a failure to connect surely means `not_run`. After a failure the next
// call goes to the next address.
class etcd_store : public key_value_store
{
public:
    // `timeout` bounds one call, a watch by its own timeout besides. `events` must outlive it.
    etcd_store(std::vector<endpoint> addresses, duration timeout, counters &events);

    asio::awaitable<tl::expected<store_read, store_error>> readPrefix(std::string prefix) override;
    asio::awaitable<tl::expected<store_read, store_error>> readKey(std::string key) override;
    asio::awaitable<tl::expected<transaction_result, store_error>>
    transact(store_transaction transaction) override;
    asio::awaitable<tl::expected<std::int64_t, store_error>>
    grantLease(duration timeToLive) override;
    asio::awaitable<tl::expected<duration, store_error>> keepAlive(std::int64_t lease) override;
    asio::awaitable<tl::expected<bool, store_error>>
    waitForChange(std::string prefix, std::int64_t afterRevision, duration timeout) override;

private:
    struct idle_connection
    {
        endpoint server;
        http_connection connection;
        time_point since;
    };
    using http_result = tl::expected<http_reply, http_failure>;
    using body_result = tl::expected<std::string, store_error>;

    asio::awaitable<tl::expected<store_read, store_error>> read(std::string body);
    asio::awaitable<body_result> call(std::string path, std::string body);
    asio::awaitable<http_result> exchangeKept(endpoint server, http_request request,
                                              time_point deadline);
    asio::awaitable<http_result> exchangeNew(endpoint server, http_request request,
                                             time_point deadline);
    std::optional<http_connection> takeIdle(const endpoint &server, time_point now);
    void keep(const endpoint &server, http_connection connection);
    body_result bodyOf(http_result reply);
    store_error failed(const http_failure &failure);
    const endpoint &server() const { return m_addresses[m_next % m_addresses.size()]; }

    std::vector<endpoint> m_addresses;
    duration m_timeout;
    counters &m_events;
    std::size_t m_next = 0;
    std::vector<idle_connection> m_idle;
};

} // namespace gooseberrymoor
