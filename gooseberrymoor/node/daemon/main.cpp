#include "gooseberrymoor/base/crash_log.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/logging/log4cplus_event_log.h"
#include "gooseberrymoor/node/node.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

namespace {

namespace asio = boost::asio;

constexpr const char *usage = R"(gooseberrymoord: one node of the query tier.

Usage:
  gooseberrymoord --settings=FILE
  gooseberrymoord --check --settings=FILE
  gooseberrymoord --help

Options:
  --settings=FILE  INI file with this node's settings (docs/SETTINGS.md).
  --check          Check the settings and exit.
  --help           Show this text.

Exit codes: 0 after a graceful stop, 1 if a port cannot be opened, 2 for bad settings.
)";

constexpr int exit_failure = 1;
constexpr int exit_bad_settings = 2;

asio::awaitable<void> stopOnSignal(gooseberrymoor::node &node)
{
    asio::signal_set signals(co_await asio::this_coro::executor, SIGTERM, SIGINT);
    co_await signals.async_wait(gooseberrymoor::as_result);
    co_await node.stop();
}

int runNode(const gooseberrymoor::node_settings &settings)
{
    asio::io_context context(1);
    gooseberrymoor::counters events;
    gooseberrymoor::log4cplus_event_log log(settings.name);
    gooseberrymoor::node node(context.get_executor(), settings, log);
    if (const auto started = node.start(); !started) {
        std::cerr << "gooseberrymoord: " << started.error() << "\n";
        return exit_failure;
    }
    gooseberrymoor::startTask(context.get_executor(), events, "stop", stopOnSignal(node));
    context.run();
    return 0;
}

} // namespace

int main(int argc, char *argv[])
{
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    const auto settings = gooseberrymoor::readNodeSettings(arguments.at("--settings").asString());
    if (!settings) {
        std::cerr << "gooseberrymoord: " << settings.error().text() << "\n";
        return exit_bad_settings;
    }
    if (arguments.at("--check").asBool()) {
        std::cout << "settings are valid\n";
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    gooseberrymoor::installCrashLog(settings->name);
    return runNode(*settings);
}
