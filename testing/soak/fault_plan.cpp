#include "fault_plan.h"

#include <algorithm>
#include <random>

namespace gooseberrymoor {

namespace {

constexpr duration mean_fault_interval { 350 };
constexpr duration min_fault_length { 200 };
constexpr duration max_fault_length { 2500 };
constexpr int long_pause_factor = 4; // times the length of other faults

} // namespace

std::vector<planned_fault> makeFaultPlan(std::uint32_t seed, duration length, std::size_t nodes,
                                         std::size_t targets, std::size_t kinds)
{
    std::mt19937 random(seed);
    std::exponential_distribution<double> interval(
        1.0 / static_cast<double>(mean_fault_interval.count()));
    std::uniform_int_distribution<duration::rep> lengthDistribution(min_fault_length.count(),
                                                                    max_fault_length.count());
    const auto allKinds = names(fault_kind {});
    std::uniform_int_distribution<std::size_t> kind(0, kinds - 1);
    std::uniform_int_distribution<std::size_t> subject(0, nodes * targets - 1);
    std::vector<planned_fault> plan;
    duration at { 0 };
    while (true) {
        at += duration(1 + static_cast<duration::rep>(interval(random)));
        if (at >= length)
            return plan;
        planned_fault fault;
        fault.at = at;
        fault.kind = allKinds[kind(random)].first;
        fault.subject = subject(random);
        duration drawn(lengthDistribution(random));
        if (fault.kind == fault_kind::node_paused_long)
            drawn *= long_pause_factor;
        fault.length = std::min(drawn, length - at);
        plan.push_back(fault);
    }
}

std::string describe(const std::vector<planned_fault> &plan)
{
    std::string text;
    for (const planned_fault &each : plan) {
        text += std::to_string(each.at.count()) + " " + std::string(nameOf(each.kind)) + " "
            + std::to_string(each.subject) + " for " + std::to_string(each.length.count()) + "; ";
    }
    return text;
}

} // namespace gooseberrymoor
