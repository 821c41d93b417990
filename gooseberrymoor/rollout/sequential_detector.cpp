#include "gooseberrymoor/rollout/sequential_detector.h"

#include <algorithm>
#include <cmath>

namespace gooseberrymoor {

void sequential_detector::add(const marked_counts &counts)
{
    const double marked = counts.oldMarked + counts.newMarked;
    if (counts.oldTotal <= 0 || counts.newTotal <= 0 || marked <= 0)
        return;
    const double total = counts.oldTotal + counts.newTotal;
    for (std::size_t i = 0; i < guesses; ++i) {
        const double weighted = m_ratios[i] * counts.newTotal + counts.oldTotal;
        const double onNew = m_ratios[i] * total / weighted;
        const double onOld = total / weighted;
        m_window[i] += counts.newMarked * std::log(onNew) + counts.oldMarked * std::log(onOld);
    }
}

void sequential_detector::closeWindow()
{
    for (std::size_t i = 0; i < guesses; ++i) {
        const double before = m_begun ? m_sum[i] : 0;
        const double grown
            = m_begun ? std::max(before, 0.0) + std::log1p(std::exp(-std::abs(before))) : 0;
        m_sum[i] = grown + m_window[i];
        m_window[i] = 0;
    }
    m_begun = true;
}

double sequential_detector::logEvidence() const
{
    if (!m_begun)
        return 0;
    const double highest = *std::ranges::max_element(m_sum);
    double sum = 0;
    for (const double each : m_sum)
        sum += std::exp(each - highest);
    return highest + std::log(sum / guesses);
}

} // namespace gooseberrymoor
