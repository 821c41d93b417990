#pragma once

#include <array>
#include <cstddef>

namespace gooseberrymoor {

// 2x2 contingency table of one stratum: the requests of two versions, and how many of them were
// positive, that is failed or slow.
struct contingency_table
{
    double oldTotal = 0;
    double newTotal = 0;
    double oldPositives = 0;
    double newPositives = 0;
};

// Alternative hypotheses: how many times likelier a positive is on a bad version. The detector
// gives each the same prior weight.
constexpr std::size_t odds_ratio_count = 4;
using odds_ratios = std::array<double, odds_ratio_count>;
using log_likelihood_ratios = std::array<double, odds_ratio_count>;

// Natural logarithm of the likelihood ratio of `counts` for each of `ratios`, against the
// hypothesis that both versions are equal. Zero if one version has no requests or there are no
// positives.
log_likelihood_ratios logLikelihoodRatios(const odds_ratios &ratios,
                                          const contingency_table &counts);

// Shiryaev-Roberts change detector: finds a time from which the new version has more positives than
// its fraction of the requests explains. If both versions are equal, the expected evidence grows by
// at most 1 with each window, so the probability that it ever reaches c within n windows is at most
// n / c.
class sequential_detector
{
public:
    // Adds one stratum to the open window.
    void add(const log_likelihood_ratios &stratum);

    // Closes the open window and updates the evidence.
    void closeWindow();

    // Natural logarithm of the evidence after the last closed window.
    double logEvidence() const;

private:
    log_likelihood_ratios m_window {};
    log_likelihood_ratios m_sum {}; // logarithm of the Shiryaev-Roberts statistic
    bool m_hasClosedWindow = false;
};

} // namespace gooseberrymoor
