#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/net.h"

#include <random>
#include <vector>

// A caller's cache of the directory. It is fetched from any entry and refreshed when its time to
// live has passed; while no entry answers, the last response stays in use. Not thread-safe.
class entry_list
{
public:
    // `bootstrapEntries` can be asked for the directory; must not be empty.
    entry_list(std::vector<gooseberrymoor::endpoint> bootstrapEntries, std::uint64_t seed);

    // Fetches the directory again if its time to live has passed.
    boost::asio::awaitable<void> refresh();

    // Returns a random entry, other than `except` if there is another one.
    gooseberrymoor::endpoint pick(const gooseberrymoor::endpoint &except);

    // Whether the directory lists `entry`.
    bool contains(const gooseberrymoor::endpoint &entry) const;

private:
    bool applyDirectory(const std::string &body);

    std::vector<gooseberrymoor::endpoint> m_bootstrapEntries;
    std::vector<gooseberrymoor::endpoint> m_entries;
    gooseberrymoor::time_point m_validUntil {};
    std::mt19937_64 m_random;
    bool m_refreshing = false;
};
