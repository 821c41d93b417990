#pragma once

#include <map>
#include <string>

namespace docopt {
class value;
}

namespace gooseberrymoor {

// The usage text of the command `gooseberrymoor`, from which docopt reads its arguments.
const std::string &operatorUsage();

// Runs one command and returns the exit code that the usage text lists.
int runOperatorCommand(const std::map<std::string, docopt::value> &arguments);

} // namespace gooseberrymoor
