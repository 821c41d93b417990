#pragma once

#include "store_faults.h"
#include "store_state.h"

#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/http/http_handler.h"

#include <array>
#include <cstdint>
#include <string>

// The calls that the stand-in serves; names() holds their paths.
enum class call_kind {
    range,
    transaction,
    lease_grant,
    lease_keep_alive,
    watch,
};

constexpr gooseberrymoor::name_table<call_kind, 5> names(call_kind)
{
    return { { { call_kind::range, "/v3/kv/range" },
               { call_kind::transaction, "/v3/kv/txn" },
               { call_kind::lease_grant, "/v3/lease/grant" },
               { call_kind::lease_keep_alive, "/v3/lease/keepalive" },
               { call_kind::watch, "/v3/watch" } } };
}

// Serves the JSON form of the etcd v3 API with the faults that are switched on, and also
// POST /control and GET /account. Not thread-safe.
class store_handler : public gooseberrymoor::http_handler
{
public:
    // `seed` seeds the random choice of calls that faults apply to.
    store_handler(gooseberrymoor::asio::any_io_executor executor, std::uint32_t seed);

    gooseberrymoor::asio::awaitable<gooseberrymoor::http_reply>
    handle(gooseberrymoor::http_request request) override;
    bool onConnectionOpened() override { return m_faults.outage != outage_kind::refused; }

    // Answers POST /control and GET /account only.
    gooseberrymoor::http_reply handleControl(const gooseberrymoor::http_request &request);

    // Returns the next line of the watch requested with `body`; empty once the watch has reached
    // its maximum duration or the store refuses connections.
    gooseberrymoor::asio::awaitable<std::string> nextChanges(std::string body);

    // The first line of a watch, which confirms that it was created.
    std::string watchCreatedLine() const { return m_state.watchCreatedLine(); }

private:
    gooseberrymoor::asio::awaitable<gooseberrymoor::http_reply> call(call_kind kind,
                                                                     std::string body);
    gooseberrymoor::http_reply watch(std::string body);
    gooseberrymoor::asio::awaitable<void> pause(gooseberrymoor::duration time);
    gooseberrymoor::asio::awaitable<gooseberrymoor::http_reply> withholdAnswer();
    std::string apply(call_kind kind, const std::string &body);
    gooseberrymoor::http_reply control(const std::string &body);
    std::string statistics() const;

    static constexpr std::size_t call_kind_count = names(call_kind {}).size();

    store_state m_state;
    store_faults m_faults;
    std::minstd_rand m_random;
    gooseberrymoor::signal m_changed;
    gooseberrymoor::time_point m_startTime;
    std::array<std::uint64_t, call_kind_count> m_calls {};
    std::uint64_t m_lostAnswers = 0;
    std::uint64_t m_malformed = 0;
    int m_openWatches = 0;
};
