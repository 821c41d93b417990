#pragma once

#include <array>
#include <cstddef>
#include <span>

namespace gooseberrymoor {

// One stratum of a comparison: marked requests (errors, or slow ones) of two versions.
struct marked_counts
{
    double oldTotal = 0;
    double newTotal = 0;
    double oldMarked = 0;
    double newMarked = 0;
};

// Looks for a time from which marks fall more often on the new version than its part of the
// requests explains. If both versions are alike, `evidence` has an expectation of at most 1 for
// each window; so the probability that it ever reaches c within n windows is at most n / c.
class sequential_detector
{
public:
    // How many times likelier a mark is on a bad version, as a mixture of several guesses.
    static constexpr std::size_t guesses = 4;
    using odds_ratios = std::array<double, guesses>;

    explicit sequential_detector(const odds_ratios &ratios) : m_ratios(ratios) { }

    // Adds one stratum to the present window.
    void add(const marked_counts &counts);

    // Ends the present window.
    void closeWindow();

    // Natural logarithm of the evidence after the last closed window.
    double logEvidence() const;

private:
    odds_ratios m_ratios;
    std::array<double, guesses> m_window {}; // logarithm of the window's likelihood ratio
    std::array<double, guesses> m_sum; // logarithm of the Shiryaev-Roberts sum
    bool m_begun = false;
};

} // namespace gooseberrymoor
