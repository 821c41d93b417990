#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

// A program that a test has started; killed at the latest when this goes away. Not thread-safe.
class child_process
{
public:
    // Starts `arguments[0]`; its standard error goes to the file `log`.
    child_process(std::vector<std::string> arguments, const std::string &log);
    ~child_process();
    child_process(child_process &&other) noexcept;
    child_process &operator=(child_process &&) = delete;

    // Sends `signal`, such as SIGTERM, SIGSTOP or SIGCONT.
    void sendSignal(int signal) const;

    // Waits for its end; returns its exit code, or minus the signal that ended it.
    int wait();

    // Ends it at once.
    void kill();

private:
    pid_t m_pid = -1;
};
