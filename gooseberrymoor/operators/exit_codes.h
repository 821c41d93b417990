#pragma once

namespace gooseberrymoor {

// Exit codes of the command line, as its usage text lists them.
enum class exit_code {
    done = 0,
    failed = 1,
    bad_input = 2,
    conflict = 3, // another operator's change came first
    unknown = 4, // the store did not say whether it took the change
};

} // namespace gooseberrymoor
