#include "gooseberrymoor/admission/target_admission.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <iostream>
#include <random>
#include <vector>

using namespace gooseberrymoor;

namespace {

constexpr int node_count = 9;
constexpr duration simulated_time { 60'000 };
constexpr duration answer_time { 5 };
constexpr duration request_timeout { 300 };
const target_limits cold_target { 4, 35, 1, duration(3'600'000) }; // never warms up

struct overload_result
{
    int maxConcurrent = 0;
    double overloadedTimeFraction = 0; // share of time with more requests than the cold slots
};

// Simulates in virtual time a cold target that receives `requestsPerSecond` requests through
// `owners` admissions that do not coordinate with each other.
overload_result simulate(int owners, int requestsPerSecond)
{
    std::minstd_rand random(20261204);
    std::vector<target_admission> admissions;
    const time_point startTime { duration(1000) };
    for (int i = 0; i < owners; ++i)
        admissions.emplace_back(cold_target, startTime, static_cast<std::uint32_t>(i));
    struct started_request
    {
        std::size_t ownerIndex;
        target_admission::request_id request;
        time_point end;
    };
    std::vector<started_request> running;
    overload_result result;
    int overloadedTicks = 0;
    target_admission::request_id lastRequest = 0;
    for (time_point now = startTime; now < startTime + simulated_time; now += duration(1)) {
        for (const started_request &each : running) {
            if (each.end <= now)
                admissions[each.ownerIndex].finish(each.request, leaf_result::answered, now);
        }
        std::erase_if(running, [now](const started_request &each) { return each.end <= now; });
        const int arrivals = std::poisson_distribution<int>(requestsPerSecond / 1000.0)(random);
        for (int i = 0; i < arrivals; ++i) {
            const auto ownerIndex = random() % admissions.size();
            admissions[ownerIndex].offer(++lastRequest, now + request_timeout, now);
        }
        for (std::size_t ownerIndex = 0; ownerIndex < admissions.size(); ++ownerIndex) {
            admissions[ownerIndex].removeExpired(now);
            while (const auto next = admissions[ownerIndex].startNext(now))
                running.push_back({ ownerIndex, *next, now + answer_time });
        }
        const int concurrent = static_cast<int>(running.size());
        result.maxConcurrent = std::max(result.maxConcurrent, concurrent);
        overloadedTicks += concurrent > cold_target.coldSlots ? 1 : 0;
    }
    result.overloadedTimeFraction
        = static_cast<double>(overloadedTicks) / static_cast<double>(simulated_time.count());
    return result;
}

} // namespace

TEST_CASE("A cold target allows one request at a time, and nine nodes have requests for it")
{
    for (const int requestsPerSecond : { 50, 150, 400, 1200 }) {
        const overload_result staticShares = simulate(node_count, requestsPerSecond);
        const overload_result singleOwner = simulate(1, requestsPerSecond);
        std::cout << "offered_per_s=" << requestsPerSecond << " bound=" << cold_target.coldSlots
                  << " static_shares: most=" << staticShares.maxConcurrent
                  << " share_of_time_over=" << staticShares.overloadedTimeFraction
                  << " one_owner: most=" << singleOwner.maxConcurrent
                  << " share_of_time_over=" << singleOwner.overloadedTimeFraction << "\n";

        SUBCASE("so static shares of one request per node exceed its limit")
        {
            CHECK(staticShares.maxConcurrent > cold_target.coldSlots);
        }
        SUBCASE("and a single owner does not")
        {
            CHECK(singleOwner.maxConcurrent == cold_target.coldSlots);
        }
    }
}
