#include "gooseberrymoor/base/counters.h"

namespace gooseberrymoor {

void counters::add(std::string_view name, std::uint64_t amount)
{
    const auto found = m_values.find(name);
    if (found != m_values.end()) {
        found->second += amount;
        return;
    }
    m_values.emplace(std::string(name), amount);
}

std::uint64_t counters::value(std::string_view name) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? 0 : found->second;
}

} // namespace gooseberrymoor
