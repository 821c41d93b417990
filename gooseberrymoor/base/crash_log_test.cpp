#include "gooseberrymoor/base/crash_log.h"

#include <boost/assert.hpp>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <new>
#include <stdexcept>
#include <string>

namespace {

// What a process that crashed left behind.
struct crashed_process
{
    std::string output; // on standard output
    int endedBySignal = 0;
};

std::string readAll(int descriptor)
{
    std::string text;
    std::array<char, 4096> bytes {};
    ssize_t size = 0;
    while ((size = ::read(descriptor, bytes.data(), bytes.size())) > 0)
        text.append(bytes.data(), static_cast<std::size_t>(size));
    return text;
}

// Fills a pipe, so that the next write to it would block.
void fillPipe(int descriptor)
{
    const std::array<char, 4096> noise {};
    ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
    while (::write(descriptor, noise.data(), noise.size()) > 0) { }
    ::fcntl(descriptor, F_SETFL, 0);
}

// Nothing catches an exception that leaves `crash`.
[[noreturn]] void runChild(int output, const std::function<void()> &crash) noexcept
{
    const rlimit noCoreFile { 0, 0 };
    ::setrlimit(RLIMIT_CORE, &noCoreFile);
    for (const int number : { SIGABRT, SIGSEGV, SIGFPE, SIGILL, SIGBUS })
        std::signal(number, SIG_DFL); // the test framework's handlers
    ::dup2(output, STDOUT_FILENO);
    ::dup2(::open("/dev/null", O_WRONLY), STDERR_FILENO);
    gooseberrymoor::installCrashLog("front-1");
    crash();
    std::_Exit(0);
}

crashed_process runUntilCrash(const std::function<void()> &crash, bool isPipeFull = false)
{
    std::array<int, 2> pipe {};
    REQUIRE(::pipe(pipe.data()) == 0);
    if (isPipeFull)
        fillPipe(pipe[1]);
    const pid_t child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0)
        runChild(pipe[1], crash);
    ::close(pipe[1]);
    int status = 0;
    crashed_process result;
    if (isPipeFull) // what does not block must end without a reader
        ::waitpid(child, &status, 0);
    result.output = readAll(pipe[0]);
    if (!isPipeFull)
        ::waitpid(child, &status, 0);
    ::close(pipe[0]);
    result.endedBySignal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return result;
}

bool hasOneLineWith(const std::string &output, std::string_view text)
{
    return std::count(output.begin(), output.end(), '\n') == 1 && output.ends_with('\n')
        && output.find(text) != std::string::npos;
}

void fail(const std::string &reason)
{
    throw std::runtime_error(reason);
}

// Uses up the stack.
int recurse(int depth)
{
    std::array<volatile char, 16 * 1024> frame {};
    frame[0] = static_cast<char>(depth);
    return depth < 0 ? 0 : recurse(depth + 1) + frame[0];
}

} // namespace

// Guards against processes that end without a word: a node aborted and no line said why.
TEST_CASE("A process that ends by itself says why in one line")
{
    SUBCASE("a failed assertion: its condition and place")
    {
        const auto crashed = runUntilCrash([] {
            const int bytes = 3;
            BOOST_ASSERT(bytes >= 5);
        });
        CHECK(crashed.endedBySignal == SIGABRT);
        CHECK(hasOneLineWith(crashed.output,
                             "Z FATAL node=front-1 event=process_crashed reason=assertion"
                             " detail=\"bytes >= 5\" place=crash_log_test.cpp:"));
    }
    SUBCASE("an exception that nothing catches: its text, on one line")
    {
        const auto crashed = runUntilCrash([] { fail("a \"quoted\"\nreason"); });
        CHECK(crashed.endedBySignal == SIGABRT);
        CHECK(hasOneLineWith(crashed.output,
                             "reason=uncaught_exception detail=\"a \\\"quoted\\\" reason\""));
    }
    SUBCASE("an allocation that fails")
    {
        const auto crashed = runUntilCrash([] {
            const rlimit little { 1, 1 };
            ::setrlimit(RLIMIT_AS, &little);
            static const void *volatile block = ::operator new(1UL << 40U);
            static_cast<void>(block);
        });
        CHECK(crashed.endedBySignal == SIGABRT);
        CHECK(
            hasOneLineWith(crashed.output, "reason=uncaught_exception detail=\"std::bad_alloc\""));
    }
    SUBCASE("a fatal signal: its name")
    {
        const auto crashed = runUntilCrash([] { std::raise(SIGSEGV); });
        CHECK(crashed.endedBySignal == SIGSEGV);
        CHECK(hasOneLineWith(crashed.output, "reason=fatal_signal detail=\"SIGSEGV\""));
    }
    SUBCASE("no stack left")
    {
        const auto crashed = runUntilCrash([] { recurse(0); });
        CHECK(crashed.endedBySignal == SIGSEGV);
        CHECK(hasOneLineWith(crashed.output, "detail=\"SIGSEGV\""));
    }
    SUBCASE("but does not wait for a reader that has no room for the line")
    {
        const auto crashed = runUntilCrash([] { std::abort(); }, true);
        CHECK(crashed.endedBySignal == SIGABRT);
        CHECK(crashed.output.find("event=") == std::string::npos);
    }
    SUBCASE("and cuts off what is too long")
    {
        const auto crashed = runUntilCrash([] { fail(std::string(5000, 'x')); });
        CHECK(hasOneLineWith(crashed.output, "xxx\" place=unknown"));
        CHECK(crashed.output.size() < 1024);
    }
}
