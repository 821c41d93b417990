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

comparison_request wanted()
{
    comparison_request request;
    request.service = "standings";
    request.oldVersion = "v1";
    request.newVersion = "v2";
    request.planned = std::chrono::hours(1);
    return request;
}

wall_time after(int windows)
{
    return start + evidence_window_length * windows;
}

// Feeds a site of one node, window by window.
class simulated_service
{
public:
    explicit simulated_service(unsigned seed) : m_random(seed) { }

    // One window with so many requests; `errors` are probabilities.
    void window(int oldCount, double oldErrors, int newCount, double newErrors,
                const std::string &route = "/laps", double newSlowdown = 1)
    {
        requests("v1", oldCount, oldErrors, route, 1);
        requests("v2", newCount, newErrors, route, newSlowdown);
    }

    void next() { ++m_window; }

    version_comparison compare() const { return m_evidence.compare(wanted(), after(m_window)); }

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
                              after(m_window));
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
    SUBCASE("counts for its version when the target answered or failed")
    {
        counts.add(error_kind::none, duration(10));
        counts.add(error_kind::target_failed, duration(10));
        counts.add(error_kind::malformed_answer, duration(10));
        counts.add(error_kind::timed_out, duration(10));
        counts.add(error_kind::target_lost, duration(10));
        CHECK(counts.ended() == 5);
        CHECK(counts.answers == 1);
    }
    SUBCASE("says nothing when no target ran it, or a target shed it")
    {
        for (const auto &row : names(error_kind {})) {
            const error_kind kind = row.first;
            version_counts each;
            each.add(kind, duration(10));
            const bool speaks = kind == error_kind::none || kind == error_kind::target_failed
                || kind == error_kind::malformed_answer || kind == error_kind::timed_out
                || kind == error_kind::target_lost;
            CHECK_MESSAGE(each.ended() == (speaks ? 1U : 0U), row.second);
        }
    }
    SUBCASE("counts as slow, but not as ended, when a hedge won against it")
    {
        counts.add(error_kind::cancelled, duration(400));
        CHECK(counts.ended() == 0);
        CHECK(counts.timed() == 1);
    }
    SUBCASE("falls into a bucket that grows with its latency")
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
    SUBCASE("a good one is not found bad, however often one looks")
    {
        for (int i = 0; i < 300; ++i) {
            site.window(100, 0.01, 10, 0.01);
            site.next();
            CHECK(!site.compare().bad);
        }
        SUBCASE("also when the whole site is disturbed")
        {
            for (int i = 0; i < 24; ++i) {
                site.window(100, 0.5, 10, 0.5);
                site.next();
                CHECK(!site.compare().bad);
            }
        }
    }
    SUBCASE("a disturbance that ends when the new version starts is no excuse nor evidence")
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
    SUBCASE("a disturbance under a larger share than before is no evidence either")
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
    SUBCASE("one that turns a little bad after a long good time is not excused by that time")
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
    SUBCASE("one that turns bad late is found, and the cause names the route")
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
    SUBCASE("one that is only slow is found by its latency, at a small share and at a large one")
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
    SUBCASE("one slow VM of several is no slow version, but most of them are")
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
                        after(window));
                    evidence.record(
                        "n1",
                        { "standings", "v1", "/", error_kind::none, at(usual), "old-" + name },
                        after(window));
                }
                bad = bad || evidence.compare(wanted(), after(window + 1)).bad;
            }
            CHECK_MESSAGE(bad == (slowVms > 1), slowVms);
        }
    }
    SUBCASE("one bad VM cannot be told from the version if it has most of the requests")
    {
        version_evidence evidence;
        for (int i = 0; i < 300; ++i) {
            const bool first = i % 5 > 0;
            evidence.record("n1",
                            { "standings", "v2", "/",
                              first ? error_kind::target_failed : error_kind::none, duration(20),
                              first ? "a" : "b" },
                            after(0));
            evidence.record("n1", { "standings", "v1", "/", error_kind::none, duration(20), "c" },
                            after(0));
        }
        CHECK(evidence.compare(wanted(), after(1)).bad);
    }
    SUBCASE("an open window is not looked at")
    {
        site.window(100, 0, 100, 1);
        CHECK(!site.compare().bad);
        site.next();
        CHECK(site.compare().bad);
    }
    SUBCASE("one VM of the new version that dies with all its requests is no bad version")
    {
        version_evidence evidence;
        for (int i = 0; i < 200; ++i)
            evidence.record("n1", { "standings", "v1", "/", error_kind::none, duration(20) },
                            after(0));
        for (int i = 0; i < 6; ++i)
            evidence.record("n1", { "standings", "v2", "/", error_kind::target_lost, duration(9) },
                            after(0));
        CHECK(!evidence.compare(wanted(), after(1)).bad);
    }
}

TEST_CASE("The evidence of many nodes is pooled")
{
    version_evidence evidence;
    evidence_window window;
    window.index = windowOf(start);
    window.rows[{ "standings", "/", "v1", "" }].answers = 90;
    window.rows[{ "standings", "/", "v2", "" }].answers = 7;
    const auto requests = [&evidence] { return evidence.compare(wanted(), after(1)).requests; };
    SUBCASE("and a repeat changes nothing")
    {
        evidence.put("n1", window, after(1));
        evidence.put("n1", window, after(1));
        CHECK(requests() == 7);
        evidence.put("n2", window, after(1));
        CHECK(requests() == 14);
    }
    SUBCASE("but a window from long ago or far ahead is passed over")
    {
        evidence.put("n1", window, after(1000));
        window.index += 1000;
        evidence.put("n1", window, after(1));
        CHECK(requests() == 0);
        CHECK(evidence.closedWindows("n1", 0, after(5000)).empty());
    }
    SUBCASE("and old windows are dropped")
    {
        evidence.put("n1", window, after(1));
        evidence.expire(after(1));
        CHECK(evidence.closedWindows("n1", 0, after(1)).size() == 1);
        evidence.expire(after(1000));
        CHECK(evidence.closedWindows("n1", 0, after(1000)).empty());
    }
    SUBCASE("and routes are bounded: those beyond share one name")
    {
        for (int i = 0; i < 500; ++i)
            evidence.record(
                "n1",
                { "standings", "v2", "/r" + std::to_string(i), error_kind::none, duration(5) },
                start);
        const auto closed = evidence.closedWindows("n1", 0, after(1));
        REQUIRE(closed.size() == 1);
        CHECK(closed.front().rows.size() <= max_routes);
        CHECK(requests() == 500);
    }
}

TEST_CASE("The detector keeps its promise on false alarms")
{
    SUBCASE("for equal versions its evidence passes c within n windows at most in n / c of runs")
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
