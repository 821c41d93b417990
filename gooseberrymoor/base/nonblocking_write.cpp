#include "gooseberrymoor/base/nonblocking_write.h"

#include <poll.h>
#include <unistd.h>

#include <climits>

namespace gooseberrymoor {

// A write of up to PIPE_BUF bytes to a pipe that polls as writable does not block.
bool writeWithoutBlocking(int descriptor, std::string_view line)
{
    if (line.size() > PIPE_BUF)
        return false;
    pollfd output { descriptor, POLLOUT, 0 };
    if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0)
        return false;
    return ::write(descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

} // namespace gooseberrymoor
