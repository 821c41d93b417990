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
constexpr int shard_capacity = 2; // leaf requests per tick
constexpr int max_queued = 8; // leaf requests per shard
constexpr duration tick { 20 };
constexpr duration query_timeout { 300 };
constexpr int tick_count = 3000; // one minute
constexpr int warmup_tick_count = 500;

// Simulates a service under a constant load. Its shards have bounded queues and shed requests that
// do not fit.
class service_simulation
{
public:
    explicit service_simulation(bool limitsRate) : m_limitsRate(limitsRate) { }

    // The rate of complete answers after the warm-up, relative to the capacity, at `load` times the
    // capacity.
    double goodput(double load)
    {
        double pendingArrivals = 0;
        for (int i = 0; i < tick_count; ++i) {
            m_now += tick;
            m_isMeasuring = i >= warmup_tick_count;
            for (pendingArrivals += load * shard_capacity; pendingArrivals >= 1;
                 pendingArrivals -= 1)
                offerQuery();
            serve();
        }
        return static_cast<double>(m_completeAnswers)
            / ((tick_count - warmup_tick_count) * shard_capacity);
    }

    int rejectedCount() const { return m_rejected; }

private:
    struct query_state
    {
        time_point startedAt;
        int remaining = shards;
        int shedCount = 0;
    };

    void offerQuery()
    {
        query_request request;
        request.service = "standings";
        request.deadline = m_now + query_timeout;
        if (m_limitsRate && m_admission.checkServiceLoad(request, shards, m_now)) {
            m_rejected += m_isMeasuring ? 1 : 0;
            return;
        }
        const int id = ++m_lastId;
        m_queries[id] = { m_now, shards, 0 };
        for (auto &queue : m_queues) {
            queue.push_back(id);
            // Requests reach the shards in different orders, so each shard sheds different ones.
            if (queue.size() > max_queued) {
                const auto dropped
                    = queue.begin() + static_cast<std::ptrdiff_t>(m_random() % queue.size());
                const int droppedId = *dropped;
                queue.erase(dropped);
                finishLeafRequest(droppedId, true);
            }
        }
    }

    void serve()
    {
        for (auto &queue : m_queues) {
            for (int i = 0; i < shard_capacity && !queue.empty(); ++i) {
                finishLeafRequest(queue.front(), false);
                queue.pop_front();
            }
        }
    }

    void finishLeafRequest(int id, bool isShed)
    {
        query_state &query = m_queries.at(id);
        query.shedCount += isShed ? 1 : 0;
        if (--query.remaining > 0)
            return;
        query_answer answer;
        answer.results.resize(static_cast<std::size_t>(shards - query.shedCount));
        for (int i = 0; i < query.shedCount; ++i)
            answer.uncovered.push_back({ "s", error_kind::overloaded, verdict::not_run });
        m_completeAnswers += query.shedCount == 0 && m_isMeasuring ? 1 : 0;
        m_admission.onAnswered("standings", answer, m_now - query.startedAt, m_now);
        m_queries.erase(id);
    }

    bool m_limitsRate;
    entry_admission m_admission { 1000 };
    std::mt19937_64 m_random { 7 };
    std::array<std::deque<int>, shards> m_queues;
    std::map<int, query_state> m_queries;
    time_point m_now { duration(1000) };
    int m_lastId = 0;
    int m_completeAnswers = 0;
    int m_rejected = 0;
    bool m_isMeasuring = false;
};

query_answer answerWith(std::size_t covered, std::size_t uncovered, error_kind reason)
{
    query_answer answer;
    answer.results.resize(covered);
    answer.uncovered.resize(uncovered, { "s", reason, verdict::may_have_run });
    return answer;
}

} // namespace

TEST_CASE("A service receives a constant load of queries")
{
    SUBCASE("and at twice its capacity, without a rate limit, hardly any answer is complete")
    {
        CHECK(service_simulation(false).goodput(2) < 0.2);
    }
    SUBCASE("and at twice its capacity, with a rate limit, most of the capacity yields complete "
            "answers")
    {
        service_simulation service(true);
        const double goodput = service.goodput(2);
        MESSAGE("goodput at twice the capacity: " << goodput);
        CHECK(goodput > 0.75);
        CHECK(service.rejectedCount() > 0);
    }
    SUBCASE("and at ten times its capacity, with a rate limit, still most of the capacity does")
    {
        const double goodput = service_simulation(true).goodput(10);
        MESSAGE("goodput at ten times the capacity: " << goodput);
        CHECK(goodput > 0.6);
    }
    SUBCASE("and at 80% of its capacity the rate limit rejects nothing")
    {
        service_simulation service(true);
        CHECK(service.goodput(0.8) > 0.79);
        CHECK(service.rejectedCount() == 0);
    }
}

TEST_CASE("A node rejects queries that it cannot answer in time")
{
    entry_admission admission(100);
    time_point now { duration(1000) };
    query_request request;
    request.service = "standings";

    SUBCASE("because the recent answers took longer than the caller waits")
    {
        for (int i = 0; i < 100; ++i)
            admission.onAnswered("standings", answerWith(10, 0, error_kind::none), duration(200),
                                 now);
        request.deadline = now + duration(100);
        admission.checkServiceLoad(request, shards, now); // a probe is admitted
        const auto rejection = admission.checkServiceLoad(request, shards, now);
        REQUIRE(rejection);
        CHECK(rejection->kind == error_kind::overloaded);
        CHECK(rejection->outcome == verdict::not_run);
        SUBCASE("but admits queries of callers that wait longer")
        {
            request.deadline = now + duration(400);
            CHECK(!admission.checkServiceLoad(request, shards, now));
        }
        SUBCASE("but admits a probe query at intervals")
        {
            now += duration(100);
            request.deadline = now + duration(100);
            CHECK(!admission.checkServiceLoad(request, shards, now));
            CHECK(admission.checkServiceLoad(request, shards, now));
        }
    }
    SUBCASE("but not because one of ten shards times out")
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
