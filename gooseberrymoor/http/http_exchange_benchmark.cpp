#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/http/http_connection.h"
#include "gooseberrymoor/http/http_handler.h"
#include "gooseberrymoor/http/http_server.h"

#include <benchmark/benchmark.h>
#include <boost/asio/io_context.hpp>

#include <string>

using namespace gooseberrymoor;

namespace {

const endpoint server_address { "127.0.0.1", 18098 };
constexpr std::size_t max_body_bytes = 65536;
constexpr duration benchmark_timeout { 600'000 };
constexpr int exchanges = 30'000;

class echo_handler : public http_handler
{
public:
    asio::awaitable<http_reply> handle(http_request request) override
    {
        co_return http_reply(200, std::move(request.body), "application/octet-stream");
    }
};

asio::awaitable<void> exchangeAll(benchmark::State &state, http_server &server)
{
    const time_point deadline = millis_clock::now() + benchmark_timeout;
    http_connection connection(co_await asio::this_coro::executor);
    co_await connection.connect(server_address, deadline);
    http_request request("POST", "/path",
                         std::string(static_cast<std::size_t>(state.range(0)), 'x'));
    request.headers.emplace_back("Gooseberrymoor-Attempt-Id", "0123456789abcdef");
    while (state.KeepRunning()) {
        const auto reply = co_await connection.exchange(request, deadline);
        if (!reply)
            state.SkipWithError("exchange failed");
    }
    server.stopAccepting();
}

// One request and reply over a kept connection, both sides in one process.
void exchange(benchmark::State &state)
{
    asio::io_context context(1);
    counters events;
    echo_handler handler;
    http_server server(context.get_executor(), handler, events, max_body_bytes);
    if (!server.start(server_address))
        state.SkipWithError("address in use");
    asio::co_spawn(context, exchangeAll(state, server), [](std::exception_ptr) {});
    context.run();
}

BENCHMARK(exchange)->Arg(200)->Arg(20'000)->Iterations(exchanges);

} // namespace

BENCHMARK_MAIN();
