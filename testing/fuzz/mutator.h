#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace gooseberrymoor {

// Draws malformed variants of valid inputs for a decoder: bytes that are changed, removed, repeated
// or inserted, numbers that are out of range, deep nesting, and mixtures of two inputs. Equal seeds
// give the same variants. Not thread-safe.
class mutator
{
public:
    // `samples` are valid inputs; at least one.
    mutator(std::vector<std::string> samples, std::uint32_t seed);

    // The next variant.
    std::string next();

private:
    std::size_t below(std::size_t limit);
    void mutate(std::string &text);
    void replaceNumber(std::string &text);
    void replaceValue(std::string &text);
    void splice(std::string &text);

    std::vector<std::string> m_samples;
    std::mt19937 m_random;
};

} // namespace gooseberrymoor
