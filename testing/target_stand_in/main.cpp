#include "target_handler.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/http/http_server.h"
#include "target_settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

namespace {

using namespace gooseberrymoor;

constexpr const char *usage = R"(A stand-in for a target: one back end of a service.

Usage:
  target_stand_in --settings=FILE

Options:
  --settings=FILE  INI file; see target_settings.h for its keys.
)";

constexpr std::size_t max_body_bytes = 1'000'000;

} // namespace

int main(int argc, char *argv[])
{
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    const auto settings = readTargetSettings(arguments.at("--settings").asString());
    if (!settings) {
        std::cerr << settings.error().text() << "\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context context(1);
    counters events;
    target_handler handler(context.get_executor(), *settings);
    http_server server(context.get_executor(), handler, events, max_body_bytes);
    if (const auto started = server.start(settings->listen); !started) {
        std::cerr << started.error() << "\n";
        return 1;
    }
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return 0;
}
