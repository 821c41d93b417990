#include "gooseberrymoor/base/crash_log.h"

#include "gooseberrymoor/base/crash_reason.h"
#include "gooseberrymoor/base/fixed_line.h"
#include "gooseberrymoor/base/internal/assertion_listener.h"
#include "gooseberrymoor/base/nonblocking_write.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <exception>

namespace gooseberrymoor {

namespace {

constexpr std::size_t max_node_name_bytes = 128;
constexpr std::size_t alternate_stack_bytes = 64ULL * 1024;
constexpr std::string_view unknown_place = "unknown";

using signal_name = std::pair<int, std::string_view>;
constexpr std::array<signal_name, 5> fatal_signals { { { SIGABRT, "SIGABRT" },
                                                       { SIGBUS, "SIGBUS" },
                                                       { SIGFPE, "SIGFPE" },
                                                       { SIGILL, "SIGILL" },
                                                       { SIGSEGV, "SIGSEGV" } } };

std::array<char, max_node_name_bytes> nodeNameBytes;
std::size_t nodeNameSize = 0;
// Signal handlers run here, so that one can run when the process has no stack left.
std::array<char, alternate_stack_bytes> alternateStack;
// An assertion or uncaught exception ends in SIGABRT, which must not write a second line.
std::atomic_flag isLineWritten = ATOMIC_FLAG_INIT;

// Appends the time of day in UTC, e.g. 2026-03-01T12:00:00.250Z. The functions of the C library for
// this may take locks.
void appendTime(fixed_line &line)
{
    timespec now {};
    ::clock_gettime(CLOCK_REALTIME, &now);
    const std::chrono::sys_seconds time { std::chrono::seconds(now.tv_sec) };
    const auto day = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss timeOfDay(time - day);
    constexpr std::int64_t nanosecondsPerMillisecond = 1'000'000;
    line.appendNumber(static_cast<std::uint64_t>(static_cast<int>(date.year())), 4);
    line.append("-");
    line.appendNumber(static_cast<unsigned>(date.month()), 2);
    line.append("-");
    line.appendNumber(static_cast<unsigned>(date.day()), 2);
    line.append("T");
    line.appendNumber(static_cast<std::uint64_t>(timeOfDay.hours().count()), 2);
    line.append(":");
    line.appendNumber(static_cast<std::uint64_t>(timeOfDay.minutes().count()), 2);
    line.append(":");
    line.appendNumber(static_cast<std::uint64_t>(timeOfDay.seconds().count()), 2);
    line.append(".");
    line.appendNumber(static_cast<std::uint64_t>(now.tv_nsec / nanosecondsPerMillisecond), 3);
    line.append("Z");
}

// Appends "file:line" without the file's folders.
void appendPlace(fixed_line &line, const failed_assertion &failure)
{
    line.append(failure.file.substr(failure.file.find_last_of('/') + 1));
    line.append(":");
    line.appendNumber(static_cast<std::uint64_t>(failure.line));
}

// Starts the line; the caller appends the place.
fixed_line lineUpToPlace(crash_reason reason, std::string_view detail)
{
    fixed_line line;
    appendTime(line);
    line.append(" FATAL node=");
    line.append({ nodeNameBytes.data(), nodeNameSize });
    line.append(" event=process_crashed reason=");
    line.append(nameOf(reason));
    line.append(" detail=");
    line.appendQuoted(detail);
    line.append(" place=");
    return line;
}

void writeOnce(fixed_line &line)
{
    line.end();
    if (!isLineWritten.test_and_set())
        writeWithoutBlocking(STDOUT_FILENO, line.text());
}

void onFailedAssertion(const failed_assertion &failure)
{
    fixed_line line = lineUpToPlace(crash_reason::assertion, failure.condition);
    appendPlace(line, failure);
    writeOnce(line);
}

void writeUncaughtException(std::string_view text)
{
    fixed_line line = lineUpToPlace(crash_reason::uncaught_exception, text);
    line.append(unknown_place);
    writeOnce(line);
}

[[noreturn]] void onTerminate()
{
    if (!std::current_exception()) {
        writeUncaughtException("terminated without an exception");
        std::abort();
    }
    try {
        throw; // the current exception; needs no memory
    } catch (const std::exception &error) {
        writeUncaughtException(error.what());
    } catch (...) {
        writeUncaughtException("not a standard exception");
    }
    std::abort();
}

std::string_view nameOfSignal(int number)
{
    const auto found = std::find_if(fatal_signals.begin(), fatal_signals.end(),
                                    [number](const auto &each) { return each.first == number; });
    return found != fatal_signals.end() ? found->second : "unknown";
}

void onFatalSignal(int number)
{
    fixed_line line = lineUpToPlace(crash_reason::fatal_signal, nameOfSignal(number));
    line.append(unknown_place);
    writeOnce(line);
    std::raise(number); // ends the process: its default action is in force again
}

void handleFatalSignals()
{
    stack_t stack {};
    stack.ss_sp = alternateStack.data();
    stack.ss_size = alternateStack.size();
    ::sigaltstack(&stack, nullptr);
    struct sigaction action = {};
    action.sa_handler = onFatalSignal;
    action.sa_flags = static_cast<int>(SA_RESETHAND | SA_ONSTACK);
    for (const auto &[number, name] : fatal_signals)
        ::sigaction(number, &action, nullptr);
}

} // namespace

void installCrashLog(std::string_view nodeName)
{
    nodeNameSize = std::min(nodeName.size(), nodeNameBytes.size());
    std::copy_n(nodeName.begin(), nodeNameSize, nodeNameBytes.begin());
    setAssertionListener(onFailedAssertion);
    std::set_terminate(onTerminate);
    handleFatalSignals();
}

} // namespace gooseberrymoor
