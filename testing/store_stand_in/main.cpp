#include "store_state.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/http/http_handler.h"
#include "gooseberrymoor/http/http_server.h"
#include "gooseberrymoor/http/refusal.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

namespace {

using namespace gooseberrymoor;

constexpr const char *usage = R"(A stand-in for the platform's key-value service.

Usage:
  store_stand_in --listen=ADDRESS

Options:
  --listen=ADDRESS  Address to serve, as IP:PORT.
)";

constexpr std::size_t most_value_bytes = 1'400'000; // a megabyte in base64

class store_handler : public http_handler
{
public:
    asio::awaitable<http_reply> handle(http_request request) override
    {
        if (request.path == "/v3/kv/range")
            co_return http_reply(200, m_state.range(request.body));
        if (request.path == "/v3/kv/txn")
            co_return http_reply(200, m_state.transact(request.body));
        co_return refuse(error_kind::bad_request);
    }
    http_reply refuse(error_kind kind) override { return toReply({ kind, verdict::not_run, "" }); }

private:
    store_state m_state;
};

} // namespace

int main(int argc, char *argv[])
{
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    const auto address = parseEndpoint(arguments.at("--listen").asString());
    if (!address) {
        std::cerr << "--listen: no IP number with a port\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context context(1);
    counters events;
    store_handler handler;
    http_server server(context.get_executor(), handler, events, most_value_bytes);
    if (const auto started = server.start(*address); !started) {
        std::cerr << started.error() << "\n";
        return 1;
    }
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return 0;
}
