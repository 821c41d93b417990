#include "child_process.h"

#include <csignal>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

child_process::child_process(std::vector<std::string> arguments, const std::string &log)
{
    std::vector<char *> raw;
    for (std::string &argument : arguments)
        raw.push_back(argument.data());
    raw.push_back(nullptr);
    m_pid = fork();
    if (m_pid < 0)
        throw std::runtime_error("fork failed");
    if (m_pid > 0)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL); // the kernel kills the child if the test dies
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(file, STDERR_FILENO);
    dup2(file, STDOUT_FILENO);
    execv(raw[0], raw.data());
    _exit(127);
}

child_process::child_process(child_process &&other) noexcept : m_pid(std::exchange(other.m_pid, -1))
{
}

child_process::~child_process()
{
    kill();
}

void child_process::sendSignal(int signal) const
{
    if (m_pid > 0)
        ::kill(m_pid, signal);
}

bool child_process::hasEnded() const
{
    siginfo_t info {};
    return m_pid > 0
        && ::waitid(P_PID, static_cast<id_t>(m_pid), &info, WEXITED | WNOHANG | WNOWAIT) == 0
        && info.si_pid == m_pid;
}

int child_process::wait()
{
    if (m_pid <= 0)
        return -1;
    int status = 0;
    waitpid(std::exchange(m_pid, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

void child_process::kill()
{
    sendSignal(SIGKILL);
    sendSignal(SIGCONT);
    wait();
}
