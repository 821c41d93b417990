#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace gooseberrymoor {

// Named event counters of one process, exported by the state dump and the metrics page.
// Not thread-safe.
class counters
{
public:
    // Adds `amount` to the counter `name`, which is created on first use.
    void add(std::string_view name, std::uint64_t amount = 1);

    // Returns the value of the counter `name`, or 0 if it does not exist.
    std::uint64_t value(std::string_view name) const;

    // Returns all counters by name.
    const std::map<std::string, std::uint64_t, std::less<>> &all() const { return m_values; }

private:
    std::map<std::string, std::uint64_t, std::less<>> m_values;
};

} // namespace gooseberrymoor
