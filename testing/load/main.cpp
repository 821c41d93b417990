#include "caller.h"
#include "entry_list.h"
#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/task.h"
#include "load_report.h"
#include "load_settings.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/asio/io_context.hpp>
#include <docopt/docopt.h>

#include <csignal>
#include <iostream>
#include <memory>

namespace {

using namespace gooseberrymoor;

constexpr const char *usage
    = R"(A correct caller: finds entries, sends requests, checks every answer.

Usage:
  load --entries=LIST --service=NAME [options]

Options:
  --entries=LIST     Entries that can be asked for the directory: address:port, with commas.
  --service=NAME     The service.
  --shard=NAME       Send requests to this shard in place of queries.
  --not-idempotent   The requests to the shard are not idempotent.
  --route=TEXT       Route that the requests name.
  --callers=N        Callers, each with one connection [default: 8].
  --rate=N           Requests a second of all callers; 0 sends the next after each answer
                     [default: 0].
  --seconds=N        How long to send, at most 600 [default: 5].
  --timeout-ms=N     Deadline of each request [default: 1000].
  --any-body         Do not check that bodies are those of the target stand-in.
  --json             Report as JSON.

Exit codes: 0, 1 if an answer was wrong, 2 for bad arguments.
)";

constexpr int exit_wrong_answer = 1;
constexpr int exit_bad_arguments = 2;
constexpr long max_seconds = 600;
constexpr long max_callers = 10'000;
constexpr long millis_per_second = 1000;

std::string stringArgument(const std::map<std::string, docopt::value> &arguments, const char *name)
{
    const docopt::value &value = arguments.at(name);
    return value.isString() ? value.asString() : std::string();
}

load_settings settingsFrom(const std::map<std::string, docopt::value> &arguments)
{
    load_settings settings;
    std::vector<std::string> entries;
    boost::algorithm::split(entries, stringArgument(arguments, "--entries"), boost::is_any_of(","));
    for (const std::string &text : entries) {
        if (const auto entry = parseEndpoint(text))
            settings.entries.push_back(*entry);
    }
    settings.service = stringArgument(arguments, "--service");
    settings.shard = stringArgument(arguments, "--shard");
    settings.route = stringArgument(arguments, "--route");
    settings.idempotent = !arguments.at("--not-idempotent").asBool();
    settings.checksBody = !arguments.at("--any-body").asBool();
    settings.json = arguments.at("--json").asBool();
    settings.callers = static_cast<int>(std::min(arguments.at("--callers").asLong(), max_callers));
    settings.rate = static_cast<double>(arguments.at("--rate").asLong());
    const long seconds = std::min(arguments.at("--seconds").asLong(), max_seconds);
    settings.length = duration(seconds * millis_per_second);
    settings.timeout = duration(arguments.at("--timeout-ms").asLong());
    return settings;
}

int runLoad(const load_settings &settings)
{
    asio::io_context context(1);
    counters events;
    load_report report;
    entry_list entries(settings.entries, 1);
    std::vector<std::unique_ptr<caller>> callers;
    const time_point begin = millis_clock::now();
    for (int i = 0; i < settings.callers; ++i) {
        callers.push_back(
            std::make_unique<caller>(context.get_executor(), i, settings, entries, report));
        startTask(context.get_executor(), events, "caller", callers.back()->run(begin));
    }
    context.run();
    const duration elapsed = millis_clock::now() - begin;
    std::cout << (settings.json ? report.json(elapsed) : report.text(elapsed));
    return report.allAnswersValid() ? 0 : exit_wrong_answer;
}

} // namespace

int main(int argc, char *argv[])
{
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const load_settings settings = settingsFrom(arguments);
        if (!settings.entries.empty() && settings.callers > 0 && settings.timeout > duration(0))
            return runLoad(settings);
        std::cerr << "load: --entries is empty or invalid, or --callers or --timeout-ms is not "
                     "positive\n";
    } catch (const std::exception &error) {
        std::cerr << "load: " << error.what() << "\n";
    }
    return exit_bad_arguments;
}
