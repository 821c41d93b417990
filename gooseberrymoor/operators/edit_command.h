#pragma once

#include "gooseberrymoor/operators/operator_command.h"

#include <tl/expected.hpp>

#include <string>

namespace gooseberrymoor {

class store_session;
struct change_result;
struct configuration;

// A command that changes the configuration by a pure edit of it: reads it, edits it, and writes
// the difference on condition that nobody came first.
class edit_command : public operator_command
{
public:
    asio::awaitable<exit_code> run(command_arguments arguments) override;

protected:
    // The configuration after this command; the error says which argument or key is at fault.
    virtual tl::expected<configuration, std::string> edit(configuration before,
                                                          const command_arguments &arguments)
        = 0;

    // The key that the command replaces or removes whole; empty if it changes a part.
    virtual std::string replacedKey(const store_session &session,
                                    const command_arguments &arguments);

    // What is printed instead of a change; empty if the command is a change.
    virtual std::string listing(const configuration &current, const command_arguments &arguments);
};

// The line that tells other operators of a command, such as "zone out kl-a".
std::string describeCommand(const command_arguments &arguments);

// The exit code of a change with `result`.
exit_code exitCodeOf(const change_result &result);

} // namespace gooseberrymoor
