#include "gooseberrymoor/rollout/planned_move.h"

#include <xxhash.h>

#include <cinttypes>
#include <cstdio>

namespace gooseberrymoor {

bool affectSameResource(const planned_move &a, const planned_move &b)
{
    const bool isVersionMove = a.kind == move_kind::version;
    if (isVersionMove != (b.kind == move_kind::version))
        return false;
    return isVersionMove ? a.service == b.service : a.zone() == b.zone();
}

std::string moveIdOf(const planned_move &move)
{
    const std::string separator(1, '\0');
    const std::string text = move.service + separator + std::string(nameOf(move.kind)) + separator
        + move.from + separator + move.to + separator + toString(move.begin) + separator
        + toString(move.finishBy);
    char id[17];
    std::snprintf(id, sizeof id, "%016" PRIx64, XXH3_64bits(text.data(), text.size()));
    return id;
}

} // namespace gooseberrymoor
