#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/net.h"

#include <random>
#include <vector>

// The directory's answer as a caller keeps it: asked of any entry, used for its time to live, then
// asked again. While nobody answers, the last answer is used. Not thread-safe.
class entry_list
{
public:
    // `known` are entries that can be asked for the directory; not empty.
    entry_list(std::vector<gooseberrymoor::endpoint> known, std::uint64_t seed);

    // Asks again if the answer is too old.
    boost::asio::awaitable<void> refresh();

    // One of the entries, not `except` if there is another one.
    gooseberrymoor::endpoint pick(const gooseberrymoor::endpoint &except);

    // Whether callers may use `entry`.
    bool contains(const gooseberrymoor::endpoint &entry) const;

private:
    bool take(const std::string &body);

    std::vector<gooseberrymoor::endpoint> m_known;
    std::vector<gooseberrymoor::endpoint> m_entries;
    gooseberrymoor::time_point m_validUntil {};
    std::mt19937_64 m_random;
    bool m_refreshing = false;
};
