#pragma once

#include "gooseberrymoor/operators/operator_command.h"

#include <tl/expected.hpp>

#include <string>

namespace gooseberrymoor {

class store_session;
struct change_result;
struct configuration;

// Base class of commands that change the configuration. Reads the configuration, applies a pure
// edit, and writes the difference on condition that the configuration has not changed meanwhile.
class edit_command : public operator_command
{
public:
    asio::awaitable<exit_code> run(command_arguments arguments) override;

protected:
    // Returns `before` with the change applied. The error names the invalid argument or key.
    virtual tl::expected<configuration, std::string> edit(configuration before,
                                                          const command_arguments &arguments)
        = 0;

    // The store key that the command replaces or removes as a whole, so that its present value may
    // be malformed; empty if the command changes only a part of a value.
    virtual std::string replacedKey(const store_session &session,
                                    const command_arguments &arguments);

    // The output of a read-only command; empty if the command changes the configuration.
    virtual std::string listing(const configuration &current, const command_arguments &arguments);
};

// A one-line description of the command, such as "zone out kl-a", shown to other operators.
std::string describeCommand(const command_arguments &arguments);

// The exit code that reports `result`.
exit_code exitCodeOf(const change_result &result);

} // namespace gooseberrymoor
