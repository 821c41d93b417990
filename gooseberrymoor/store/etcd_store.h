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

// Store client for the JSON gateway of the etcd v3 API. Counts its calls and failures.
//
// Reads reuse idle connections. If a reused connection fails or times out, all idle connections are
// closed and the read is retried once on a new connection. Transactions and lease calls each open a
// new connection, so that a failure to connect always means `not_run`. After a call that failed or
// returned a status other than 200, the next one goes to the next address; a malformed body does
// not change the address.
class etcd_store : public key_value_store
{
public:
    // `timeout` limits each call; a watch also has its own timeout. `events` must outlive the
    // store.
    etcd_store(std::vector<endpoint> addresses, duration timeout, counters &events);

    asio::awaitable<tl::expected<store_read, store_error>> readPrefix(std::string prefix) override;
    asio::awaitable<tl::expected<store_read, store_error>> readKey(std::string key) override;
    asio::awaitable<tl::expected<transaction_result, store_error>>
    transact(store_transaction transaction) override;
    asio::awaitable<tl::expected<store_lease, store_error>>
    grantLease(duration timeToLive) override;
    asio::awaitable<tl::expected<lease_renewal, store_error>>
    keepAlive(std::int64_t lease) override;
    asio::awaitable<tl::expected<bool, store_error>>
    waitForChange(std::string prefix, std::int64_t afterRevision, duration timeout) override;

private:
    struct idle_connection
    {
        endpoint server;
        http_connection connection;
        time_point idleSince;
    };
    using http_result = tl::expected<http_reply, http_failure>;
    using body_result = tl::expected<std::string, store_error>;

    asio::awaitable<tl::expected<store_read, store_error>> read(std::string body);
    asio::awaitable<body_result> call(std::string path, std::string body);
    asio::awaitable<http_result> exchangeReusing(endpoint server, http_request request,
                                                 time_point deadline);
    asio::awaitable<http_result> exchangeOnNewConnection(endpoint server, http_request request,
                                                         time_point deadline);
    std::optional<http_connection> takeIdleConnection(const endpoint &server, time_point now);
    void keepIdleConnection(const endpoint &server, http_connection connection);
    body_result responseBody(http_result reply);
    store_error recordFailure(const http_failure &failure);
    const endpoint &server() const { return m_addresses[m_serverIndex % m_addresses.size()]; }

    std::vector<endpoint> m_addresses;
    duration m_timeout;
    counters &m_events;
    std::size_t m_serverIndex = 0;
    std::vector<idle_connection> m_idle;
};

} // namespace gooseberrymoor
