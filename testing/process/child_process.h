#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

// A program started by a test. The destructor kills it. Not thread-safe.
class child_process
{
public:
    // Starts `arguments[0]`. Its standard output and standard error are appended to the file `log`.
    child_process(std::vector<std::string> arguments, const std::string &log);
    ~child_process();
    child_process(child_process &&other) noexcept;
    child_process &operator=(child_process &&) = delete;

    // Sends `signal`, such as SIGTERM, SIGSTOP or SIGCONT.
    void sendSignal(int signal) const;

    // Whether it has ended. Call `wait` or `kill` afterwards as well.
    bool hasEnded() const;

    // Waits for its end. Returns its exit code, or the negated number of the signal that killed it.
    int wait();

    // Kills it with SIGKILL and waits for its end.
    void kill();

private:
    pid_t m_pid = -1;
};
