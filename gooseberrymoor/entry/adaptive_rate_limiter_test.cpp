#include "gooseberrymoor/entry/entry_admission.h"

#include "gooseberrymoor/query/query_answer.h"
#include "gooseberrymoor/query/query_request.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <random>

using namespace gooseberrymoor;

namespace {

constexpr int shards = 20;
constexpr int shard_capacity = 2; // leaf requests a tick
constexpr int queue_limit = 8; // leaf requests that wait for a shard
constexpr duration tick { 20 };
constexpr duration timeout { 300 };
constexpr int ticks = 3000; // one minute
constexpr int warmup_ticks = 500;

// A service of shards with bounded queues, under a stated load, in steps of one tick.
class overloaded_service
{
public:
    explicit overloaded_service(bool refuses) : m_refuses(refuses) { }

    // Whole answers a tick, as a share of the capacity, after the warm-up.
    double goodput(double load)
    {
        double due = 0;
        for (int i = 0; i < ticks; ++i) {
            m_now += tick;
            m_counting = i >= warmup_ticks;
            for (due += load * shard_capacity; due >= 1; due -= 1)
                ask();
            serve();
        }
        return static_cast<double>(m_whole) / ((ticks - warmup_ticks) * shard_capacity);
    }

    int refused() const { return m_refused; }

private:
    struct query_state
    {
        time_point began;
        int left = shards;
        int shed = 0;
    };

    void ask()
    {
        query_request request;
        request.service = "standings";
        request.deadline = m_now + timeout;
        if (m_refuses && m_admission.checkServiceLoad(request, shards, m_now)) {
            m_refused += m_counting ? 1 : 0;
            return;
        }
        const int id = ++m_lastId;
        m_queries[id] = { m_now, shards, 0 };
        for (auto &queue : m_queues) {
            queue.push_back(id);
            // Requests reach the shards in different orders, so each sheds others.
            if (queue.size() > queue_limit) {
                const auto unlucky
                    = queue.begin() + static_cast<std::ptrdiff_t>(m_random() % queue.size());
                const int shed = *unlucky;
                queue.erase(unlucky);
                end(shed, true);
            }
        }
    }

    void serve()
    {
        for (auto &queue : m_queues) {
            for (int i = 0; i < shard_capacity && !queue.empty(); ++i) {
                end(queue.front(), false);
                queue.pop_front();
            }
        }
    }

    void end(int id, bool shed)
    {
        query_state &query = m_queries.at(id);
        query.shed += shed ? 1 : 0;
        if (--query.left > 0)
            return;
        query_answer answer;
        answer.results.resize(static_cast<std::size_t>(shards - query.shed));
        for (int i = 0; i < query.shed; ++i)
            answer.uncovered.push_back({ "s", error_kind::overloaded, verdict::not_run });
        m_whole += query.shed == 0 && m_counting ? 1 : 0;
        m_admission.onAnswered("standings", answer, m_now - query.began, m_now);
        m_queries.erase(id);
    }

    bool m_refuses;
    entry_admission m_admission { 1000 };
    std::mt19937_64 m_random { 7 };
    std::array<std::deque<int>, shards> m_queues;
    std::map<int, query_state> m_queries;
    time_point m_now { duration(1000) };
    int m_lastId = 0;
    int m_whole = 0;
    int m_refused = 0;
    bool m_counting = false;
};

query_answer answerWith(std::size_t covered, std::size_t uncovered, error_kind reason)
{
    query_answer answer;
    answer.results.resize(covered);
    answer.uncovered.resize(uncovered, { "s", reason, verdict::may_have_run });
    return answer;
}

} // namespace

TEST_CASE("A service is offered more queries than it can answer")
{
    SUBCASE("and without early refusal hardly an answer is whole")
    {
        CHECK(overloaded_service(false).goodput(2) < 0.2);
    }
    SUBCASE("and with early refusal most of its capacity gives whole answers")
    {
        overloaded_service service(true);
        const double goodput = service.goodput(2);
        MESSAGE("goodput at twice the load: " << goodput);
        CHECK(goodput > 0.75);
        CHECK(service.refused() > 0);
    }
    SUBCASE("at ten times the load too")
    {
        const double goodput = overloaded_service(true).goodput(10);
        MESSAGE("goodput at ten times the load: " << goodput);
        CHECK(goodput > 0.6);
    }
    SUBCASE("but below its capacity nothing is refused")
    {
        overloaded_service service(true);
        CHECK(service.goodput(0.8) > 0.79);
        CHECK(service.refused() == 0);
    }
}

TEST_CASE("A node refuses what it cannot answer in time")
{
    entry_admission admission(100);
    time_point now { duration(1000) };
    query_request request;
    request.service = "standings";

    SUBCASE("when answers take longer than the caller waits")
    {
        for (int i = 0; i < 100; ++i)
            admission.onAnswered("standings", answerWith(10, 0, error_kind::none), duration(200),
                                 now);
        request.deadline = now + duration(100);
        admission.checkServiceLoad(request, shards, now); // one is let in to learn from
        const auto refused = admission.checkServiceLoad(request, shards, now);
        REQUIRE(refused);
        CHECK(refused->kind == error_kind::overloaded);
        CHECK(refused->outcome == verdict::not_run);
        SUBCASE("but takes those of callers that wait longer")
        {
            request.deadline = now + duration(400);
            CHECK(!admission.checkServiceLoad(request, shards, now));
        }
        SUBCASE("and lets one in now and then, to see whether that still holds")
        {
            now += duration(100);
            request.deadline = now + duration(100);
            CHECK(!admission.checkServiceLoad(request, shards, now));
            CHECK(admission.checkServiceLoad(request, shards, now));
        }
    }
    SUBCASE("but not because one group is silent")
    {
        for (int i = 0; i < 1000; ++i) {
            now += duration(1);
            request.deadline = now + duration(300);
            REQUIRE(!admission.checkServiceLoad(request, shards, now));
            admission.onAnswered("standings", answerWith(9, 1, error_kind::timed_out),
                                 duration(300), now);
        }
    }
}
