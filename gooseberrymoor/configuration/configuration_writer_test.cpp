#include "gooseberrymoor/configuration/configuration_writer.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/manual_clock.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/base/timer.h"
#include "gooseberrymoor/store/key_value_store.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace gooseberrymoor;

namespace {

constexpr duration call_timeout { 500 };
constexpr duration virtual_step { 10 };
constexpr duration delay_beyond_lease { 700'000 };

// How the simulated store treats one call.
enum class call_outcome {
    answered,
    refused, // never reaches the store, and the caller knows it
    request_lost,
    answer_lost,
    late, // applied after its caller has timed out
};

constexpr name_table<call_outcome, 5> names(call_outcome)
{
    return { { { call_outcome::answered, "answered" },
               { call_outcome::refused, "refused" },
               { call_outcome::request_lost, "request_lost" },
               { call_outcome::answer_lost, "answer_lost" },
               { call_outcome::late, "late" } } };
}

// Outcome and delay of one call.
struct call_plan
{
    call_outcome outcome = call_outcome::answered;
    int delayMs = 1;
    int lateMs = 0;
};

// A change as applied by the store.
struct accepted_change
{
    std::string what;
    std::int64_t revision = 0;
};

// An in-memory store that loses, delays and reorders calls as planned. Calls beyond the last plan
// are answered.
class faulty_store : public key_value_store
{
public:
    faulty_store(asio::io_context &context, std::vector<call_plan> plans)
        : m_context(context), m_plans(std::move(plans))
    {
    }

    asio::awaitable<tl::expected<store_read, store_error>> readPrefix(std::string prefix) override
    {
        const call_plan plan = nextPlan();
        co_await pause(duration(plan.delayMs));
        if (plan.outcome != call_outcome::answered) {
            co_await pause(call_timeout);
            co_return tl::unexpected(timeoutError());
        }
        store_read read;
        read.revision = m_revision;
        for (const auto &[key, entry] : m_entries) {
            if (key.starts_with(prefix))
                read.entries.push_back(entry);
        }
        co_return read;
    }

    asio::awaitable<tl::expected<transaction_result, store_error>>
    transact(store_transaction transaction) override
    {
        const call_plan plan = nextPlan();
        co_await pause(duration(plan.delayMs));
        if (plan.outcome == call_outcome::answered)
            co_return apply(transaction);
        if (plan.outcome == call_outcome::refused)
            co_return tl::unexpected(unavailableError());
        if (plan.outcome == call_outcome::answer_lost)
            apply(transaction);
        if (plan.outcome == call_outcome::late)
            startTask(m_context.get_executor(), m_events, "late",
                      applyLate(transaction, duration(plan.lateMs)));
        co_await pause(call_timeout);
        co_return tl::unexpected(timeoutError());
    }

    asio::awaitable<tl::expected<store_lease, store_error>> grantLease(duration timeToLive) override
    {
        const call_plan plan = nextPlan();
        co_await pause(duration(plan.delayMs));
        if (plan.outcome != call_outcome::answered)
            co_return tl::unexpected(timeoutError());
        const std::int64_t lease = ++m_lastLease;
        m_leases[lease] = millis_clock::now() + timeToLive;
        co_return store_lease { lease };
    }

    std::vector<accepted_change> history;

private:
    call_plan nextPlan() { return m_next < m_plans.size() ? m_plans[m_next++] : call_plan {}; }

    asio::awaitable<void> pause(duration time)
    {
        timer wait(m_context, millis_clock::now() + time);
        co_await wait.async_wait(as_result);
    }

    asio::awaitable<void> applyLate(store_transaction transaction, duration after)
    {
        co_await pause(after);
        apply(transaction);
    }

    static store_error timeoutError()
    {
        return { store_failure::timed_out, verdict::may_have_run, "lost" };
    }
    static store_error unavailableError()
    {
        return { store_failure::unavailable, verdict::not_run, "refused" };
    }

    void expireLeases()
    {
        for (const auto &[lease, ends] : m_leases) {
            if (ends <= millis_clock::now())
                std::erase_if(m_entries, [id = lease, this](const auto &each) {
                    return m_leaseOfKey[each.first] == id;
                });
        }
        std::erase_if(m_leases,
                      [](const auto &each) { return each.second <= millis_clock::now(); });
    }

    std::int64_t revisionOf(const std::string &key) const
    {
        const auto found = m_entries.find(key);
        return found == m_entries.end() ? 0 : found->second.modRevision;
    }

    tl::expected<transaction_result, store_error> apply(const store_transaction &transaction)
    {
        expireLeases();
        for (const store_put &put : transaction.puts) {
            if (put.lease != 0 && !m_leases.contains(put.lease))
                return tl::unexpected(timeoutError());
        }
        for (const store_compare &compare : transaction.compares) {
            if (revisionOf(compare.key) != compare.modRevision)
                return transaction_result { false, m_revision };
        }
        ++m_revision;
        std::string what;
        bool writesHead = false;
        for (const store_put &put : transaction.puts) {
            m_entries[put.key] = { put.key, put.value, m_revision };
            m_leaseOfKey[put.key] = put.lease;
            writesHead = writesHead || put.key == m_keys.head();
            if (put.key.starts_with(m_keys.servicePrefix()))
                what = put.value;
        }
        if (writesHead)
            history.push_back({ what, m_revision });
        return transaction_result { true, m_revision };
    }

    asio::io_context &m_context;
    counters m_events;
    configuration_keys m_keys { "main" };
    std::vector<call_plan> m_plans;
    std::size_t m_next = 0;
    std::map<std::string, store_entry> m_entries;
    std::map<std::string, std::int64_t> m_leaseOfKey;
    std::map<std::int64_t, time_point> m_leases;
    std::int64_t m_lastLease = 0;
    std::int64_t m_revision = 1;
};

// A change and the result reported to its operator.
struct reported_change
{
    std::string what;
    change_result result;
};

asio::awaitable<std::int64_t> headRevision(key_value_store &store)
{
    const configuration_keys keys("main");
    while (true) {
        const auto read = co_await store.readKey(keys.head());
        if (read)
            co_return read->entries.empty() ? 0 : read->entries.front().modRevision;
    }
}

asio::awaitable<void> runOperator(key_value_store &store, std::string author, int changes,
                                  std::vector<reported_change> &reported)
{
    const configuration_keys keys("main");
    configuration_writer writer(store, keys, author);
    for (int number = 0; number < changes; ++number) {
        const std::int64_t baseRevision = co_await headRevision(store);
        const std::string what = author + "-" + std::to_string(number);
        std::vector<store_put> puts;
        puts.push_back({ keys.service("standings"), what, 0 });
        const change_result result = co_await writer.write(baseRevision, std::move(puts));
        reported.push_back({ what, result });
    }
}

// Runs all tasks in virtual time until they have completed.
void runToCompletion(asio::io_context &context, manual_clock &clock)
{
    while (true) {
        while (context.poll() > 0) { }
        if (context.stopped())
            return;
        clock.advance(virtual_step);
    }
}

int timesApplied(const std::vector<accepted_change> &history, const reported_change &change)
{
    int times = 0;
    for (const accepted_change &each : history) {
        if (each.what == change.what)
            ++times;
    }
    return times;
}

bool isInHistoryAt(const std::vector<accepted_change> &history, const reported_change &change)
{
    return std::ranges::any_of(history, [&](const accepted_change &each) {
        return each.what == change.what && each.revision == change.result.revision;
    });
}

// Lets RapidCheck print the plans of a failing case.
std::ostream &operator<<(std::ostream &out, const call_plan &plan)
{
    return out << nameOf(plan.outcome) << " after " << plan.delayMs << " ms, late by "
               << plan.lateMs << " ms";
}

rc::Gen<call_plan> arbitraryPlan()
{
    return rc::gen::build<call_plan>(
        rc::gen::set(&call_plan::outcome,
                     rc::gen::element(call_outcome::answered, call_outcome::answered,
                                      call_outcome::refused, call_outcome::request_lost,
                                      call_outcome::answer_lost, call_outcome::late)),
        rc::gen::set(&call_plan::delayMs, rc::gen::inRange(1, 200)),
        rc::gen::set(&call_plan::lateMs, rc::gen::inRange(0, 40'000)));
}

} // namespace

TEST_CASE("Operators change a configuration in a store whose replies may be lost")
{
    SUBCASE("and each reported result is true, however calls are lost, delayed or reordered")
    {
        CHECK(rc::check([] {
            const auto plans = *rc::gen::container<std::vector<call_plan>>(arbitraryPlan());
            const int operators = *rc::gen::inRange(1, 4);
            manual_clock clock;
            asio::io_context context(1);
            counters events;
            faulty_store store(context, plans);
            std::vector<reported_change> reported;
            for (int each = 0; each < operators; ++each) {
                startTask(context.get_executor(), events, "operator",
                          runOperator(store, "operator-" + std::to_string(each), 4, reported));
            }
            runToCompletion(context, clock);
            RC_ASSERT(reported.size() == static_cast<std::size_t>(operators) * 4);
            std::int64_t last = 0;
            for (const accepted_change &each : store.history) {
                RC_ASSERT(each.revision > last);
                last = each.revision;
            }
            for (const reported_change &each : reported) {
                const int times = timesApplied(store.history, each);
                switch (each.result.state) {
                case change_state::accepted:
                    RC_ASSERT(times == 1);
                    RC_ASSERT(isInHistoryAt(store.history, each));
                    break;
                case change_state::not_accepted:
                case change_state::conflict:
                    RC_ASSERT(times == 0);
                    break;
                case change_state::unknown:
                    RC_ASSERT(times <= 1);
                    break;
                }
            }
        }));
    }
    SUBCASE("and a late change")
    {
        manual_clock clock;
        asio::io_context context(1);
        counters events;
        std::vector<reported_change> reported;
        SUBCASE("finds itself abandoned and is not applied")
        {
            // One plan each for the read of the head, the grant of the lease and the change.
            const std::vector<call_plan> plans { {}, {}, { call_outcome::late, 1, 5000 } };
            faulty_store store(context, plans);
            startTask(context.get_executor(), events, "operator",
                      runOperator(store, "kim", 1, reported));
            runToCompletion(context, clock);
            REQUIRE(reported.size() == 1);
            CHECK(reported[0].result.state == change_state::not_accepted);
            CHECK(store.history.empty());
        }
        SUBCASE("that outlives its operation key is rejected because its lease has expired")
        {
            const std::vector<call_plan> plans {
                {}, {}, { call_outcome::late, 1, static_cast<int>(delay_beyond_lease.count()) }
            };
            faulty_store store(context, plans);
            startTask(context.get_executor(), events, "operator",
                      runOperator(store, "kim", 1, reported));
            runToCompletion(context, clock);
            REQUIRE(reported.size() == 1);
            CHECK(reported[0].result.state == change_state::not_accepted);
            CHECK(store.history.empty());
        }
    }
    SUBCASE("and a change whose reply was lost is found even after another has replaced the head")
    {
        manual_clock clock;
        asio::io_context context(1);
        counters events;
        std::vector<reported_change> reported;
        const std::vector<call_plan> plans { {}, {}, { call_outcome::answer_lost, 1, 0 } };
        faulty_store store(context, plans);
        startTask(context.get_executor(), events, "first", runOperator(store, "kim", 1, reported));
        while (context.poll() > 0 || store.history.empty())
            clock.advance(virtual_step);
        startTask(context.get_executor(), events, "second", runOperator(store, "mia", 1, reported));
        runToCompletion(context, clock);
        REQUIRE(reported.size() == 2);
        CHECK(reported[0].result.state == change_state::accepted);
        CHECK(reported[1].result.state == change_state::accepted);
        CHECK(store.history.size() == 2);
    }
    SUBCASE("and the second of two concurrent changes reports the first")
    {
        manual_clock clock;
        asio::io_context context(1);
        counters events;
        std::vector<reported_change> reported;
        faulty_store store(context, {});
        startTask(context.get_executor(), events, "first", runOperator(store, "kim", 1, reported));
        startTask(context.get_executor(), events, "second", runOperator(store, "mia", 1, reported));
        runToCompletion(context, clock);
        REQUIRE(reported.size() == 2);
        const bool isKimFirst = reported[0].result.state == change_state::accepted;
        const change_result &second = isKimFirst ? reported[1].result : reported[0].result;
        CHECK(second.state == change_state::conflict);
        CHECK(second.detail.find(isKimFirst ? "by kim" : "by mia") != std::string::npos);
    }
}
