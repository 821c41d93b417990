#include "gooseberrymoor/admission/target_admission.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <iostream>
#include <random>
#include <vector>

using namespace gooseberrymoor;

namespace {

constexpr int nodes = 9;
constexpr duration span { 60'000 };
constexpr duration answer_time { 5 };
constexpr duration timeout { 300 };
const target_limits cold_target { 4, 35, 1, duration(3'600'000) }; // cold for the whole span

struct overload
{
    int mostAtOnce = 0;
    double shareOfTime = 0; // in which more ran than the target bears
};

// Offers `perSecond` requests to a cold target through `owners` admissions that know nothing of
// one another, in virtual time.
overload run(int owners, int perSecond)
{
    std::minstd_rand random(20261204);
    std::vector<target_admission> admissions;
    const time_point begin { duration(1000) };
    for (int i = 0; i < owners; ++i)
        admissions.emplace_back(cold_target, begin, static_cast<std::uint32_t>(i));
    struct started
    {
        std::size_t owner;
        target_admission::ticket request;
        time_point end;
    };
    std::vector<started> running;
    overload result;
    int overloadedTicks = 0;
    target_admission::ticket last = 0;
    for (time_point now = begin; now < begin + span; now += duration(1)) {
        for (const started &each : running) {
            if (each.end <= now)
                admissions[each.owner].finish(each.request, leaf_result::answered, now);
        }
        std::erase_if(running, [now](const started &each) { return each.end <= now; });
        const int arrivals = std::poisson_distribution<int>(perSecond / 1000.0)(random);
        for (int i = 0; i < arrivals; ++i) {
            const auto owner = random() % admissions.size();
            admissions[owner].offer(++last, now + timeout, now);
        }
        for (std::size_t owner = 0; owner < admissions.size(); ++owner) {
            admissions[owner].expire(now);
            while (const auto next = admissions[owner].startNext(now))
                running.push_back({ owner, *next, now + answer_time });
        }
        const int atOnce = static_cast<int>(running.size());
        result.mostAtOnce = std::max(result.mostAtOnce, atOnce);
        overloadedTicks += atOnce > cold_target.coldSlots ? 1 : 0;
    }
    result.shareOfTime = static_cast<double>(overloadedTicks) / static_cast<double>(span.count());
    return result;
}

} // namespace

TEST_CASE("A cold target bears one request at a time, and nine nodes have requests for it")
{
    for (const int perSecond : { 50, 150, 400, 1200 }) {
        const overload shares = run(nodes, perSecond);
        const overload owner = run(1, perSecond);
        std::cout << "offered_per_s=" << perSecond << " bound=" << cold_target.coldSlots
                  << " static_shares: most=" << shares.mostAtOnce
                  << " share_of_time_over=" << shares.shareOfTime
                  << " one_owner: most=" << owner.mostAtOnce
                  << " share_of_time_over=" << owner.shareOfTime << "\n";

        SUBCASE("static shares of one request each pass its bound")
        {
            CHECK(shares.mostAtOnce > cold_target.coldSlots);
        }
        SUBCASE("one owner does not")
        {
            CHECK(owner.mostAtOnce == cold_target.coldSlots);
        }
    }
}
