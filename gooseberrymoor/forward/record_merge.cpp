#include "gooseberrymoor/forward/record_merge.h"

#include <algorithm>
#include <functional>
#include <string_view>

namespace gooseberrymoor {

std::string largestRecords(const std::vector<std::string> &parts, std::size_t limit)
{
    std::vector<std::string_view> records;
    for (const std::string &part : parts) {
        const std::string_view bytes = part;
        for (std::size_t at = 0; at + record_bytes <= bytes.size(); at += record_bytes)
            records.push_back(bytes.substr(at, record_bytes));
    }
    const std::size_t kept = std::min(limit, records.size());
    const auto end = records.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(records.begin(), end, records.end(), std::greater<>());
    std::string merged;
    merged.reserve(kept * record_bytes);
    for (auto each = records.begin(); each != end; ++each)
        merged.append(*each);
    return merged;
}

} // namespace gooseberrymoor
