#include "gooseberrymoor/rollout/version_evidence.h"

#include "gooseberrymoor/peer/frame.h"
#include "gooseberrymoor/rollout/leaf_observation.h"
#include "gooseberrymoor/rollout/sequential_detector.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <random>

using namespace gooseberrymoor;

namespace {

const wall_time start { std::chrono::hours(400'000) };

comparison_request comparisonRequest()
{
    comparison_request request;
    request.service = "standings";
    request.oldVersion = "v1";
    request.newVersion = "v2";
    request.plannedDuration = std::chrono::hours(1);
    return request;
}

wall_time timeAfterWindows(int windows)
{
    return start + evidence_window_length * windows;
}

// Records the requests of one service on one node, window by window.
class simulated_service
{
public:
    explicit simulated_service(unsigned seed) : m_random(seed) { }

    // Adds requests to the open window; `oldErrors` and `newErrors` are probabilities.
    void window(int oldCount, double oldErrors, int newCount, double newErrors,
                const std::string &route = "/laps", double newSlowdown = 1)
    {
        requests("v1", oldCount, oldErrors, route, 1);
        requests("v2", newCount, newErrors, route, newSlowdown);
    }

    void next() { ++m_window; }

    version_comparison compare() const
    {
        return m_evidence.compare(comparisonRequest(), timeAfterWindows(m_window));
    }

private:
    void requests(const char *version, int count, double errors, const std::string &route,
                  double slowdown)
    {
        for (int i = 0; i < count; ++i) {
            const bool failed = std::uniform_real_distribution(0.0, 1.0)(m_random) < errors;
            const double took
                = 20 * slowdown * std::exp(std::normal_distribution<double>(0, 0.5)(m_random));
            m_evidence.record("n1",
                              { "standings", version, route,
                                failed ? error_kind::target_failed : error_kind::none,
                                duration(static_cast<std::int64_t>(took)) },
                              timeAfterWindows(m_window));
        }
    }

    std::mt19937 m_random;
    version_evidence m_evidence;
    int m_window = 0;
};

} // namespace

TEST_CASE("A leaf request that ends")
{
    version_counts counts;
    SUBCASE("is counted when the target answered or failed")
    {
        counts.add(error_kind::none, duration(10));
        counts.add(error_kind::target_failed, duration(10));
        counts.add(error_kind::malformed_answer, duration(10));
        counts.add(error_kind::timed_out, duration(10));
        counts.add(error_kind::target_lost, duration(10));
        CHECK(counts.ended() == 5);
        CHECK(counts.answers == 1);
    }
    SUBCASE("is ignored when no target ran it, or a target shed it")
    {
        for (const auto &row : names(error_kind {})) {
            const error_kind kind = row.first;
            version_counts each;
            each.add(kind, duration(10));
            const bool isCounted = kind == error_kind::none || kind == error_kind::target_failed
                || kind == error_kind::malformed_answer || kind == error_kind::timed_out
                || kind == error_kind::target_lost;
            CHECK_MESSAGE(each.ended() == (isCounted ? 1U : 0U), row.second);
        }
    }
    SUBCASE("adds a latency, but is not counted as ended, when a hedge won against it")
    {
        counts.add(error_kind::cancelled, duration(400));
        CHECK(counts.ended() == 0);
        CHECK(counts.latencySamples() == 1);
    }
    SUBCASE("falls into a latency bucket that never decreases as the latency grows")
    {
        CHECK(rc::check([] {
            const auto shorter = *rc::gen::inRange(0, 200'000);
            const auto longer = shorter + *rc::gen::inRange(0, 200'000);
            RC_ASSERT(latencyBucketOf(duration(shorter)) <= latencyBucketOf(duration(longer)));
            RC_ASSERT(latencyBucketOf(duration(longer)) < latency_buckets);
        }));
    }
}

TEST_CASE("Two versions are compared")
{
    simulated_service site(7);
    SUBCASE("a good new version is never found bad, however often it is compared")
    {
        for (int i = 0; i < 300; ++i) {
            site.window(100, 0.01, 10, 0.01);
            site.next();
            CHECK(!site.compare().bad);
        }
        SUBCASE("and not when the errors of both versions increase")
        {
            for (int i = 0; i < 24; ++i) {
                site.window(100, 0.5, 10, 0.5);
                site.next();
                CHECK(!site.compare().bad);
            }
        }
    }
    SUBCASE("errors of the old version before the new one started do not affect the result")
    {
        for (int i = 0; i < 20; ++i) {
            site.window(100, 0.3, 0, 0);
            site.next();
        }
        CHECK(!site.compare().bad);
        for (int i = 0; i < 20; ++i) {
            site.window(100, 0.01, 10, 0.01);
            site.next();
        }
        CHECK(!site.compare().bad);
    }
    SUBCASE(
        "errors on both versions after an increase of the new version's share do not make it bad")
    {
        for (int i = 0; i < 60; ++i) {
            site.window(200, 0.01, 2, 0.01);
            site.next();
        }
        for (int i = 0; i < 12; ++i) {
            site.window(100, 0.4, 100, 0.4);
            site.next();
            CHECK(!site.compare().bad);
        }
    }
    SUBCASE("a new version whose errors increase slightly after a long time is found bad")
    {
        for (int i = 0; i < 100; ++i) {
            site.window(100, 0.02, 50, 0.02);
            site.next();
        }
        int windows = 0;
        while (!site.compare().bad && windows < 100) {
            site.window(100, 0.02, 50, 0.1);
            site.next();
            ++windows;
        }
        CHECK(windows <= 15);
    }
    SUBCASE(
        "a new version that fails late on one route is found bad, and the cause names the route")
    {
        for (int i = 0; i < 100; ++i) {
            site.window(100, 0.01, 30, 0.01, "/laps");
            site.window(100, 0.01, 30, 0.01, "/penalties");
            site.next();
        }
        REQUIRE(!site.compare().bad);
        int windows = 0;
        while (!site.compare().bad && windows < 50) {
            site.window(100, 0.01, 30, 0.01, "/laps");
            site.window(100, 0.01, 30, 0.5, "/penalties");
            site.next();
            ++windows;
        }
        CHECK(windows <= 3);
        CHECK(site.compare().cause.route == "/penalties");
        CHECK(site.compare().cause.reason == rollback_reason::errors);
    }
    SUBCASE(
        "a new version that is only slow is found bad by its latency, at small and large shares")
    {
        for (const int newCount : { 5, 50, 450 }) {
            simulated_service slow(11);
            int windows = 0;
            while (!slow.compare().bad && windows < 100) {
                slow.window(500 - newCount, 0.01, newCount, 0.01, "/laps", 2);
                slow.next();
                ++windows;
            }
            CHECK_MESSAGE(windows < 30, newCount);
            CHECK(slow.compare().cause.reason == rollback_reason::latency);
        }
    }
    SUBCASE("one slow VM of 15 does not make the new version bad, but eight do")
    {
        for (const int slowVms : { 1, 8 }) {
            version_evidence evidence;
            std::mt19937 random(5);
            bool bad = false;
            for (int window = 0; window < 100; ++window) {
                for (int i = 0; i < 150; ++i) {
                    const int vm = i % 15;
                    const double usual
                        = 20 * std::exp(std::normal_distribution<double>(0, 0.5)(random));
                    const double slow = vm < slowVms ? 5 * usual : usual;
                    const auto at
                        = [](double took) { return duration(static_cast<std::int64_t>(took)); };
                    const std::string name = std::to_string(vm);
                    evidence.record(
                        "n1", { "standings", "v2", "/", error_kind::none, at(slow), "new-" + name },
                        timeAfterWindows(window));
                    evidence.record(
                        "n1",
                        { "standings", "v1", "/", error_kind::none, at(usual), "old-" + name },
                        timeAfterWindows(window));
                }
                bad = bad
                    || evidence.compare(comparisonRequest(), timeAfterWindows(window + 1)).bad;
            }
            CHECK_MESSAGE(bad == (slowVms > 1), slowVms);
        }
    }
    SUBCASE("errors of a VM that has most of the new version's requests make the version bad")
    {
        version_evidence evidence;
        for (int i = 0; i < 300; ++i) {
            const bool first = i % 5 > 0;
            evidence.record("n1",
                            { "standings", "v2", "/",
                              first ? error_kind::target_failed : error_kind::none, duration(20),
                              first ? "a" : "b" },
                            timeAfterWindows(0));
            evidence.record("n1", { "standings", "v1", "/", error_kind::none, duration(20), "c" },
                            timeAfterWindows(0));
        }
        CHECK(evidence.compare(comparisonRequest(), timeAfterWindows(1)).bad);
    }
    SUBCASE("an open window is ignored")
    {
        site.window(100, 0, 100, 1);
        CHECK(!site.compare().bad);
        site.next();
        CHECK(site.compare().bad);
    }
    SUBCASE(
        "a VM of the new version that fails with all its requests does not make the version bad")
    {
        version_evidence evidence;
        for (int i = 0; i < 200; ++i)
            evidence.record("n1", { "standings", "v1", "/", error_kind::none, duration(20) },
                            timeAfterWindows(0));
        for (int i = 0; i < 6; ++i)
            evidence.record("n1", { "standings", "v2", "/", error_kind::target_lost, duration(9) },
                            timeAfterWindows(0));
        CHECK(!evidence.compare(comparisonRequest(), timeAfterWindows(1)).bad);
    }
}

TEST_CASE("The evidence of several nodes is pooled")
{
    version_evidence evidence;
    evidence_window window;
    window.index = windowOf(start);
    window.rows[{ "standings", "/", "v1", "" }].answers = 90;
    window.rows[{ "standings", "/", "v2", "" }].answers = 7;
    const auto requests = [&evidence] {
        return evidence.compare(comparisonRequest(), timeAfterWindows(1)).requests;
    };
    SUBCASE("and a window that is received twice is counted once")
    {
        evidence.put("n1", window, timeAfterWindows(1));
        evidence.put("n1", window, timeAfterWindows(1));
        CHECK(requests() == 7);
        evidence.put("n2", window, timeAfterWindows(1));
        CHECK(requests() == 14);
    }
    SUBCASE("but a window that is too old or too far in the future is ignored")
    {
        evidence.put("n1", window, timeAfterWindows(1000));
        window.index += 1000;
        evidence.put("n1", window, timeAfterWindows(1));
        CHECK(requests() == 0);
        CHECK(evidence.closedWindows("n1", 0, timeAfterWindows(5000)).empty());
    }
    SUBCASE("and old windows are removed")
    {
        evidence.put("n1", window, timeAfterWindows(1));
        evidence.expire(timeAfterWindows(1));
        CHECK(evidence.closedWindows("n1", 0, timeAfterWindows(1)).size() == 1);
        evidence.expire(timeAfterWindows(1000));
        CHECK(evidence.closedWindows("n1", 0, timeAfterWindows(1000)).empty());
    }
    SUBCASE("and the number of routes is bounded: the others share one name")
    {
        for (int i = 0; i < 500; ++i)
            evidence.record(
                "n1",
                { "standings", "v2", "/r" + std::to_string(i), error_kind::none, duration(5) },
                start);
        const auto closed = evidence.closedWindows("n1", 0, timeAfterWindows(1));
        REQUIRE(closed.size() == 1);
        CHECK(closed.front().rows.size() <= max_routes);
        CHECK(requests() == 500);
    }
}

TEST_CASE("The detector bounds the probability of false alarms")
{
    SUBCASE("equal versions reach evidence c within n windows in at most n / c of the runs")
    {
        constexpr int runs = 2000;
        constexpr int windows = 100;
        const odds_ratios ratios { 2, 5, 20, 100 };
        const double c = std::log(windows / 0.05);
        int alarms = 0;
        for (unsigned seed = 1; seed <= runs; ++seed) {
            std::mt19937 random(seed);
            sequential_detector detector;
            bool alarm = false;
            for (int window = 0; window < windows && !alarm; ++window) {
                const double rate = window % 10 == 3 ? 0.4 : 0.02;
                const int newErrors = std::binomial_distribution(10, rate)(random);
                const int oldErrors = std::binomial_distribution(90, rate)(random);
                const contingency_table counts { 90, 10, static_cast<double>(oldErrors),
                                                 static_cast<double>(newErrors) };
                detector.add(logLikelihoodRatios(ratios, counts));
                detector.closeWindow();
                alarm = detector.logEvidence() >= c;
            }
            alarms += alarm ? 1 : 0;
        }
        CHECK(alarms <= runs * 0.05);
    }
}
