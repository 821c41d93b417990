#include "gooseberrymoor/operators/command_line.h"

#include <docopt/docopt.h>

int main(int argc, char *argv[])
{
    const auto arguments
        = docopt::docopt(gooseberrymoor::operatorUsage(), { argv + 1, argv + argc });
    return gooseberrymoor::runOperatorCommand(arguments);
}
