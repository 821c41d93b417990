#include "store_handler.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/http/http_handler.h"
#include "gooseberrymoor/http/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <docopt/docopt.h>

#include <charconv>
#include <csignal>
#include <iostream>

namespace {

using namespace gooseberrymoor;

constexpr const char *usage = R"(A stand-in for the platform's key-value service.

Usage:
  store_stand_in --listen=ADDRESS [--control=ADDRESS] [--seed=NUMBER]

Options:
  --listen=ADDRESS  Address to serve, as IP:PORT.
  --control=ADDRESS  A second address, for /control and /account only: it stays open while the
                     outage "refused" closes each connection to the first.
  --seed=NUMBER     Draws which calls a share of faults meets [default: 1].

POST /control switches faults, as a JSON object of any of: outage (none, refused, silent),
latency_ms, slow_ms, lose_next, lose_permille, error_permille.
GET /account counts the calls by kind.
)";

constexpr std::size_t max_body_bytes = 1'400'000; // a value of one megabyte in base64

// Serves only /control and /account, on the control address.
class control_handler : public http_handler
{
public:
    explicit control_handler(store_handler &store) : m_store(store) { }

    asio::awaitable<http_reply> handle(http_request request) override
    {
        co_return m_store.handleControl(request);
    }
    http_reply refuse(error_kind kind, std::string detail) override
    {
        return m_store.refuse(kind, std::move(detail));
    }

private:
    store_handler &m_store;
};

// Starts `server` at the address in `text`; on failure prints the reason and returns false.
bool startServer(http_server &server, const std::string &text)
{
    const auto address = parseEndpoint(text);
    if (!address) {
        std::cerr << text << ": not an IP address with a port\n";
        return false;
    }
    const auto started = server.start(*address);
    if (!started)
        std::cerr << started.error() << "\n";
    return started.has_value();
}

std::optional<std::uint32_t> parseSeed(const std::string &text)
{
    std::uint32_t seed = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, seed);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return seed;
}

} // namespace

int main(int argc, char *argv[])
{
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    const auto seed = parseSeed(arguments.at("--seed").asString());
    if (!seed) {
        std::cerr << "--seed: not an unsigned 32-bit integer\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context context(1);
    counters events;
    store_handler handler(context.get_executor(), *seed);
    http_server server(context.get_executor(), handler, events, max_body_bytes);
    if (!startServer(server, arguments.at("--listen").asString()))
        return 1;
    control_handler control(handler);
    http_server controlServer(context.get_executor(), control, events, max_body_bytes);
    const auto &controlAddress = arguments.at("--control");
    if (controlAddress && !startServer(controlServer, controlAddress.asString()))
        return 1;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return 0;
}
