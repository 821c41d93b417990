#pragma once

#include <map>
#include <string>

namespace docopt {
class value;
}

namespace gooseberrymoor {

// The usage text of the `gooseberrymoor` program; docopt parses the arguments according to it.
const std::string &operatorUsage();

// Runs the command that `arguments` select and returns one of the exit codes in the usage text.
int runOperatorCommand(const std::map<std::string, docopt::value> &arguments);

} // namespace gooseberrymoor
