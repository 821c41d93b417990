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
constexpr duration after_lease { 700'000 };

// What becomes of one call on its way to the store and back.
enum class call_fate {
    answered,
    refused, // never reaches the store, and the caller knows it
    request_lost,
    answer_lost,
    late, // takes effect after its caller has given up
};

constexpr name_table<call_fate, 5> names(call_fate)
{
    return { { { call_fate::answered, "answered" },
               { call_fate::refused, "refused" },
               { call_fate::request_lost, "request_lost" },
               { call_fate::answer_lost, "answer_lost" },
               { call_fate::late, "late" } } };
}

// The fate of one call, and how long it is on its way.
struct call_plan
{
    call_fate fate = call_fate::answered;
    int delayMs = 1;
    int lateMs = 0;
};

// An accepted change as the store saw it.
struct accepted_change
{
    std::string what;
    std::int64_t revision = 0;
};

// A store in memory whose calls are lost, late or reordered as planned; after the plans, all are
// answered.
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
        if (plan.fate != call_fate::answered) {
            co_await pause(call_timeout);
            co_return tl::unexpected(lost());
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
        if (plan.fate == call_fate::answered)
            co_return apply(transaction);
        if (plan.fate == call_fate::refused)
            co_return tl::unexpected(refused());
        if (plan.fate == call_fate::answer_lost)
            apply(transaction);
        if (plan.fate == call_fate::late)
            startTask(m_context.get_executor(), m_events, "late",
                      applyLate(transaction, duration(plan.lateMs)));
        co_await pause(call_timeout);
        co_return tl::unexpected(lost());
    }

    asio::awaitable<tl::expected<std::int64_t, store_error>>
    grantLease(duration timeToLive) override
    {
        const call_plan plan = nextPlan();
        co_await pause(duration(plan.delayMs));
        if (plan.fate != call_fate::answered)
            co_return tl::unexpected(lost());
        const std::int64_t lease = ++m_lastLease;
        m_leases[lease] = millis_clock::now() + timeToLive;
        co_return lease;
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

    static store_error lost()
    {
        return { store_failure::timed_out, verdict::may_have_run, "lost" };
    }
    static store_error refused()
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
                return tl::unexpected(lost());
        }
        for (const store_compare &compare : transaction.compares) {
            if (revisionOf(compare.key) != compare.modRevision)
                return transaction_result { false, m_revision };
        }
        ++m_revision;
        std::string what;
        bool movesHead = false;
        for (const store_put &put : transaction.puts) {
            m_entries[put.key] = { put.key, put.value, m_revision };
            m_leaseOfKey[put.key] = put.lease;
            movesHead = movesHead || put.key == m_keys.head();
            if (put.key.starts_with(m_keys.servicePrefix()))
                what = put.value;
        }
        if (movesHead)
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

// What an operator was told of a change.
struct told_change
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

asio::awaitable<void> operate(key_value_store &store, std::string author, int changes,
                              std::vector<told_change> &told)
{
    const configuration_keys keys("main");
    configuration_writer writer(store, keys, author);
    for (int number = 0; number < changes; ++number) {
        const std::int64_t basis = co_await headRevision(store);
        const std::string what = author + "-" + std::to_string(number);
        std::vector<store_put> puts;
        puts.push_back({ keys.service("standings"), what, 0 });
        const change_result result = co_await writer.write(basis, std::move(puts));
        told.push_back({ what, result });
    }
}

// Runs all tasks in virtual time until none is left.
void runToEnd(asio::io_context &context, manual_clock &clock)
{
    while (true) {
        while (context.poll() > 0) { }
        if (context.stopped())
            return;
        clock.advance(virtual_step);
    }
}

int timesIn(const std::vector<accepted_change> &history, const told_change &change)
{
    int times = 0;
    for (const accepted_change &each : history) {
        if (each.what == change.what)
            ++times;
    }
    return times;
}

bool isInHistoryAt(const std::vector<accepted_change> &history, const told_change &change)
{
    return std::ranges::any_of(history, [&](const accepted_change &each) {
        return each.what == change.what && each.revision == change.result.revision;
    });
}

// Shown by RapidCheck for a plan that fails.
std::ostream &operator<<(std::ostream &out, const call_plan &plan)
{
    return out << nameOf(plan.fate) << " after " << plan.delayMs << " ms, late by " << plan.lateMs
               << " ms";
}

rc::Gen<call_plan> anyPlan()
{
    return rc::gen::build<call_plan>(
        rc::gen::set(&call_plan::fate,
                     rc::gen::element(call_fate::answered, call_fate::answered, call_fate::refused,
                                      call_fate::request_lost, call_fate::answer_lost,
                                      call_fate::late)),
        rc::gen::set(&call_plan::delayMs, rc::gen::inRange(1, 200)),
        rc::gen::set(&call_plan::lateMs, rc::gen::inRange(0, 40'000)));
}

} // namespace

TEST_CASE("Operators change a configuration over a store that loses answers")
{
    SUBCASE("and each is told the truth, however calls are lost, late or reordered")
    {
        CHECK(rc::check([] {
            const auto plans = *rc::gen::container<std::vector<call_plan>>(anyPlan());
            const int operators = *rc::gen::inRange(1, 4);
            manual_clock clock;
            asio::io_context context(1);
            counters events;
            faulty_store store(context, plans);
            std::vector<told_change> told;
            for (int each = 0; each < operators; ++each) {
                startTask(context.get_executor(), events, "operator",
                          operate(store, "operator-" + std::to_string(each), 4, told));
            }
            runToEnd(context, clock);
            RC_ASSERT(told.size() == static_cast<std::size_t>(operators) * 4);
            std::int64_t last = 0;
            for (const accepted_change &each : store.history) {
                RC_ASSERT(each.revision > last);
                last = each.revision;
            }
            for (const told_change &each : told) {
                const int times = timesIn(store.history, each);
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
    SUBCASE("and a change that arrives late")
    {
        manual_clock clock;
        asio::io_context context(1);
        counters events;
        std::vector<told_change> told;
        SUBCASE("finds that it was given up, and takes no effect")
        {
            // Read of the head, grant of the lease, then the change itself.
            const std::vector<call_plan> plans { {}, {}, { call_fate::late, 1, 5000 } };
            faulty_store store(context, plans);
            startTask(context.get_executor(), events, "operator", operate(store, "kim", 1, told));
            runToEnd(context, clock);
            REQUIRE(told.size() == 1);
            CHECK(told[0].result.state == change_state::not_accepted);
            CHECK(store.history.empty());
        }
        SUBCASE("after its operation key has gone with the lease, is refused with the lease")
        {
            const std::vector<call_plan> plans {
                {}, {}, { call_fate::late, 1, static_cast<int>(after_lease.count()) }
            };
            faulty_store store(context, plans);
            startTask(context.get_executor(), events, "operator", operate(store, "kim", 1, told));
            runToEnd(context, clock);
            REQUIRE(told.size() == 1);
            CHECK(told[0].result.state == change_state::not_accepted);
            CHECK(store.history.empty());
        }
    }
    SUBCASE("and a change whose answer was lost is found, though another has replaced its head")
    {
        manual_clock clock;
        asio::io_context context(1);
        counters events;
        std::vector<told_change> told;
        const std::vector<call_plan> plans { {}, {}, { call_fate::answer_lost, 1, 0 } };
        faulty_store store(context, plans);
        startTask(context.get_executor(), events, "first", operate(store, "kim", 1, told));
        while (context.poll() > 0 || store.history.empty())
            clock.advance(virtual_step);
        startTask(context.get_executor(), events, "second", operate(store, "mia", 1, told));
        runToEnd(context, clock);
        REQUIRE(told.size() == 2);
        CHECK(told[0].result.state == change_state::accepted);
        CHECK(told[1].result.state == change_state::accepted);
        CHECK(store.history.size() == 2);
    }
    SUBCASE("and who comes second is shown what the other wrote")
    {
        manual_clock clock;
        asio::io_context context(1);
        counters events;
        std::vector<told_change> told;
        faulty_store store(context, {});
        startTask(context.get_executor(), events, "first", operate(store, "kim", 1, told));
        startTask(context.get_executor(), events, "second", operate(store, "mia", 1, told));
        runToEnd(context, clock);
        REQUIRE(told.size() == 2);
        const bool kimFirst = told[0].result.state == change_state::accepted;
        const change_result &second = kimFirst ? told[1].result : told[0].result;
        CHECK(second.state == change_state::conflict);
        CHECK(second.detail.find(kimFirst ? "by kim" : "by mia") != std::string::npos);
    }
}
