#include "gooseberrymoor/rollout/sequential_detector.h"

#include <algorithm>
#include <cmath>

namespace gooseberrymoor {

log_likelihood_ratios logLikelihoodRatios(const odds_ratios &ratios,
                                          const contingency_table &counts)
{
    log_likelihood_ratios result {};
    const double positives = counts.oldPositives + counts.newPositives;
    if (counts.oldTotal <= 0 || counts.newTotal <= 0 || positives <= 0)
        return result;
    const double total = counts.oldTotal + counts.newTotal;
    for (std::size_t i = 0; i < odds_ratio_count; ++i) {
        const double weightedTotal = ratios[i] * counts.newTotal + counts.oldTotal;
        result[i] = positives * std::log(total / weightedTotal)
            + counts.newPositives * std::log(ratios[i]);
    }
    return result;
}

void sequential_detector::add(const log_likelihood_ratios &stratum)
{
    for (std::size_t i = 0; i < odds_ratio_count; ++i)
        m_window[i] += stratum[i];
}

void sequential_detector::closeWindow()
{
    for (std::size_t i = 0; i < odds_ratio_count; ++i) {
        const double previous = m_hasClosedWindow ? m_sum[i] : 0;
        const double grown = m_hasClosedWindow
            ? std::max(previous, 0.0) + std::log1p(std::exp(-std::abs(previous)))
            : 0;
        m_sum[i] = grown + m_window[i];
        m_window[i] = 0;
    }
    m_hasClosedWindow = true;
}

double sequential_detector::logEvidence() const
{
    if (!m_hasClosedWindow)
        return 0;
    const double highest = *std::ranges::max_element(m_sum);
    double sum = 0;
    for (const double logSum : m_sum)
        sum += std::exp(logSum - highest);
    return highest + std::log(sum / odds_ratio_count);
}

} // namespace gooseberrymoor
