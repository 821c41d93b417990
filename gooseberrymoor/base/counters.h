#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace gooseberrymoor {

// Named event counts of one process, as shown by the dump and the metrics page.
// Not thread-safe.
class counters
{
public:
    // Adds `amount` to the counter called `name`, which is made at its first use.
    void add(std::string_view name, std::uint64_t amount = 1);

    // Returns the count of `name`, 0 if nothing was added yet.
    std::uint64_t value(std::string_view name) const;

    // All counts by name.
    const std::map<std::string, std::uint64_t, std::less<>> &all() const { return m_values; }

private:
    std::map<std::string, std::uint64_t, std::less<>> m_values;
};

} // namespace gooseberrymoor
