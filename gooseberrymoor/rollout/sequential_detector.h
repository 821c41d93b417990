#pragma once

#include <array>
#include <cstddef>

namespace gooseberrymoor {

// One stratum of a comparison: marked requests (errors, or slow ones) of two versions.
struct contingency_table
{
    double oldTotal = 0;
    double newTotal = 0;
    double oldPositives = 0;
    double newPositives = 0;
};

// How many times likelier a mark is on a bad version: several guesses, which are mixed.
constexpr std::size_t odds_ratio_count = 4;
using odds_ratios = std::array<double, odds_ratio_count>;
using log_likelihood_ratios = std::array<double, odds_ratio_count>;

// Natural logarithms of how much likelier the marks of a stratum fell as they did if the new
// version is bad by each of `ratios` than if both versions are alike. Zero where there is nothing
// to compare.
log_likelihood_ratios logLikelihoodRatios(const odds_ratios &ratios,
                                          const contingency_table &counts);

// Looks for a time from which marks fall more often on the new version than its part of the
// requests explains. If both versions are alike, `evidence` has an expectation of at most 1 for
// each window; so the probability that it ever reaches c within n windows is at most n / c.
class sequential_detector
{
public:
    // Adds one stratum to the present window.
    void add(const log_likelihood_ratios &stratum);

    // Ends the present window.
    void closeWindow();

    // Natural logarithm of the evidence after the last closed window.
    double logEvidence() const;

private:
    log_likelihood_ratios m_window {};
    log_likelihood_ratios m_sum {}; // logarithm of the Shiryaev-Roberts sum
    bool m_begun = false;
};

} // namespace gooseberrymoor
