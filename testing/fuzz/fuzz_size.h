#pragma once

#include <cstdint>
#include <cstdlib>
#include <sstream>

namespace gooseberrymoor {

// How much a fuzzer plays. The environment variable FUZZ="SEED INPUTS" replaces the seed and the
// number of inputs. Value type.
struct fuzz_size
{
    fuzz_size()
    {
        if (const char *given = std::getenv("FUZZ"))
            std::istringstream(given) >> seed >> inputs;
    }
    std::uint32_t seed = 1;
    int inputs = 4000; // for each kind of input
};

} // namespace gooseberrymoor
