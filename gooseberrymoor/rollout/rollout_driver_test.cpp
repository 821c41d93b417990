#include "gooseberrymoor/rollout/rollout_driver.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/base/manual_clock.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/configuration/configuration_codec.h"
#include "gooseberrymoor/configuration/configuration_follower.h"
#include "gooseberrymoor/configuration/configuration_holder.h"
#include "gooseberrymoor/membership/cell_view.h"
#include "gooseberrymoor/rollout/leaf_observation.h"
#include "gooseberrymoor/rollout/move_codec.h"
#include "gooseberrymoor/rollout/move_driver_choice.h"
#include "gooseberrymoor/rollout/rollout_ramp.h"
#include "gooseberrymoor/rollout/version_evidence.h"
#include "gooseberrymoor/store/key_value_store.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>

using namespace gooseberrymoor;

namespace {

const wall_time start { std::chrono::hours(400'000) };

// What the store does with a call.
enum class store_mood {
    answers,
    down, // the call never reaches it
    answer_lost, // the effect takes place, the answer is lost
    frozen, // the call waits on its way until `thaw`
};

constexpr name_table<store_mood, 4> names(store_mood)
{
    return { { { store_mood::answers, "answers" },
               { store_mood::down, "down" },
               { store_mood::answer_lost, "answer_lost" },
               { store_mood::frozen, "frozen" } } };
}

// The keys that all drivers share.
struct shared_keys
{
    std::map<std::string, store_entry> entries;
    std::int64_t revision = 1;

    bool apply(const store_transaction &transaction)
    {
        for (const store_compare &each : transaction.compares) {
            const auto found = entries.find(each.key);
            if ((found == entries.end() ? 0 : found->second.modRevision) != each.modRevision)
                return false;
        }
        ++revision;
        for (const store_put &put : transaction.puts)
            entries[put.key] = { put.key, put.value, revision };
        for (const std::string &key : transaction.deletes)
            entries.erase(key);
        return true;
    }

    store_read read(const std::string &prefix) const
    {
        store_read result { revision, {} };
        for (const auto &[key, entry] : entries) {
            if (key.starts_with(prefix))
                result.entries.push_back(entry);
        }
        return result;
    }
};

// One driver's way to the store.
class fake_store : public key_value_store
{
public:
    fake_store(asio::any_io_executor executor, shared_keys &keys)
        : m_keys(keys), m_resumed(std::move(executor))
    {
    }

    asio::awaitable<tl::expected<store_read, store_error>> readPrefix(std::string prefix) override
    {
        if (mood == store_mood::down)
            co_return tl::unexpected(store_error {});
        co_return m_keys.read(prefix);
    }

    asio::awaitable<tl::expected<transaction_result, store_error>>
    transact(store_transaction transaction) override
    {
        if (mood == store_mood::down)
            co_return tl::unexpected(store_error {});
        while (mood == store_mood::frozen)
            co_await m_resumed.wait();
        const bool lost = mood == store_mood::answer_lost;
        const bool succeeded = m_keys.apply(transaction);
        if (lost)
            co_return tl::unexpected(
                store_error { store_failure::timed_out, verdict::may_have_run, "" });
        co_return transaction_result { succeeded, m_keys.revision };
    }

    void thaw()
    {
        mood = store_mood::answers;
        m_resumed.notify();
    }

    store_mood mood = store_mood::answers;

private:
    shared_keys &m_keys;
    gooseberrymoor::signal m_resumed;
};

class line_log : public event_log
{
public:
    void write(std::string_view event, std::initializer_list<field> fields) override
    {
        std::string line(event);
        for (const auto &[name, value] : fields)
            line += " " + std::string(name) + "=" + value;
        lines.push_back(std::move(line));
    }
    std::vector<std::string> lines;
};

// One node that drives moves. Its view lists only itself, so every node believes it is chosen.
struct driving_node
{
    driving_node(asio::any_io_executor nodeExecutor, shared_keys &sharedKeys, std::string name,
                 wall_clock wallNow)
        : executor(std::move(nodeExecutor)), keys(sharedKeys), store(executor, sharedKeys),
          driver(
              executor, settingsFor(name), store, configurations, evidence,
              [this]() -> const cell_view & { return view; }, std::move(wallNow), log, events)
    {
        view.epoch = 1;
        view.put({ std::move(name), 1, "kl-a", {}, {}, false });
    }

    static rollout_settings settingsFor(const std::string &name)
    {
        rollout_settings settings;
        settings.ownName = name;
        settings.cell = "main";
        return settings;
    }

    // Takes in the configuration as the store has it now.
    void follow()
    {
        const configuration_keys configKeys("main");
        auto next = parseConfiguration(keys.read(configKeys.root()), configKeys);
        REQUIRE(next);
        configurations.offer(std::move(*next));
    }

    // Starts one round, unless the last one still waits for the store.
    void startRound()
    {
        if (!busy)
            startTask(executor, events, "round", round());
    }

    asio::awaitable<void> round()
    {
        busy = true;
        co_await driver.driveOnce();
        busy = false;
    }

    asio::any_io_executor executor;
    shared_keys &keys;
    fake_store store;
    configuration_holder configurations;
    version_evidence evidence;
    cell_view view;
    line_log log;
    counters events;
    rollout_driver driver;
    bool busy = false;
};

// A cell with a service, one move of it and two nodes that both drive it.
class driven_cell
{
public:
    driven_cell() : m_first(makeNode("n1")), m_second(makeNode("n2"))
    {
        service_config service;
        service.name = "standings";
        service.limits.warmup = duration(5000);
        service.versions = { { "v1", 1000, false }, { "v2", 0, false } };
        const configuration_keys configKeys("main");
        keys.apply({ {},
                     { { configKeys.service("standings"), encodeService(service) },
                       { configKeys.head(), "{}" } },
                     {} });
        move_record record;
        record.plan = {
            "", "standings", move_kind::version, "v1", "v2", start, start + std::chrono::minutes(30)
        };
        record.plan.id = moveIdOf(record.plan);
        m_moveKey = moveKey("main", record.plan);
        keys.apply({ {}, { { m_moveKey, encodeMove(record) } }, {} });
    }

    std::unique_ptr<driving_node> makeNode(const std::string &name)
    {
        return std::make_unique<driving_node>(m_context.get_executor(), keys, name,
                                              [this] { return now; });
    }

    // Both nodes see requests of both versions, of which the new one fails with `errors`.
    void observe(int newCount, int newErrors)
    {
        for (driving_node *node : { m_first.get(), m_second.get() }) {
            for (int i = 0; i < newCount; ++i) {
                const auto kind = i < newErrors ? error_kind::target_failed : error_kind::none;
                node->evidence.record("n1", { "standings", "v2", "/", kind, duration(20) }, now);
                node->evidence.record(
                    "n1", { "standings", "v1", "/", error_kind::none, duration(20) }, now);
            }
        }
    }

    void poll() { m_context.restart(), m_context.poll(); }

    void round(driving_node &node)
    {
        node.startRound();
        poll();
    }

    void advance(std::chrono::milliseconds step) { now += step; }

    bool hasMove() const { return keys.entries.contains(m_moveKey); }

    move_record move() const { return *decodeMove(keys.entries.at(m_moveKey).value); }

    service_config service() const
    {
        return *decodeService(
            keys.entries.at(configuration_keys("main").service("standings")).value);
    }

    driving_node &first() { return *m_first; }
    driving_node &second() { return *m_second; }

    shared_keys keys;
    wall_time now = start;

private:
    manual_clock m_clock;
    asio::io_context m_context { 1 };
    std::string m_moveKey;
    std::unique_ptr<driving_node> m_first;
    std::unique_ptr<driving_node> m_second;
};

constexpr std::chrono::milliseconds long_enough { 300'000 };

} // namespace

TEST_CASE("A node drives a move")
{
    driven_cell cell;
    cell.first().follow();
    cell.round(cell.first());
    REQUIRE(cell.move().step == 1);
    cell.advance(evidence_window_length);
    SUBCASE("and its configuration changes in the same transaction")
    {
        CHECK(cell.service().findVersion("v2")->sharePermille == rollout_shares_permille.front());
        CHECK(cell.first().log.lines.size() == 1);
        CHECK(cell.first().log.lines.front().find("state=moving") != std::string::npos);
    }
    SUBCASE("and does nothing from a configuration that is not the newest")
    {
        cell.observe(1000, 0);
        cell.advance(long_enough);
        cell.round(cell.first());
        CHECK(cell.move().step == 1);
        CHECK(cell.first().events.value("move_steps_conflict") == 1);
        cell.first().follow();
        cell.round(cell.first());
        CHECK(cell.move().step == 2);
    }
    SUBCASE("and when it dies another goes on from the store")
    {
        cell.second().follow();
        cell.observe(1000, 0);
        cell.advance(long_enough);
        cell.round(cell.second());
        CHECK(cell.move().step == 2);
        CHECK(cell.move().state == move_state::moving);
    }
    SUBCASE("and waits while the store is down, then goes on")
    {
        cell.first().follow();
        cell.observe(1000, 0);
        cell.advance(long_enough);
        cell.first().store.mood = store_mood::down;
        cell.round(cell.first());
        CHECK(cell.move().step == 1);
        cell.first().store.mood = store_mood::answers;
        cell.round(cell.first());
        CHECK(cell.move().step == 2);
    }
    SUBCASE("and a lost answer is settled by reading back: no step is taken twice")
    {
        cell.first().follow();
        cell.observe(1000, 0);
        cell.advance(long_enough);
        cell.first().store.mood = store_mood::answer_lost;
        cell.round(cell.first());
        CHECK(cell.move().step == 2);
        cell.first().store.mood = store_mood::answers;
        cell.round(cell.first());
        CHECK(cell.move().step == 2);
        CHECK(cell.first().events.value("move_steps_unknown") == 1);
    }
    SUBCASE("and if it freezes with a step in hand, what was found bad meanwhile stays out")
    {
        cell.first().follow();
        cell.second().follow();
        cell.observe(1000, 0);
        cell.advance(long_enough);
        cell.first().store.mood = store_mood::frozen;
        cell.round(cell.first());
        CHECK(cell.move().step == 1);
        cell.observe(1000, 900);
        cell.advance(evidence_window_length);
        cell.round(cell.second());
        REQUIRE(cell.move().state == move_state::rolled_back);
        cell.first().store.thaw();
        cell.poll();
        CHECK(cell.move().state == move_state::rolled_back);
        CHECK(cell.service().findVersion("v2")->blocked);
        CHECK(cell.service().findVersion("v2")->sharePermille == 0);
        CHECK(cell.service().findVersion("v1")->sharePermille == 1000);
        CHECK(cell.second().log.lines.back().find("cause=errors") != std::string::npos);
    }
    SUBCASE("and a frozen word that the move is late does not undo its end")
    {
        cell.first().follow();
        cell.second().follow();
        cell.advance(std::chrono::minutes(30));
        cell.first().store.mood = store_mood::frozen;
        cell.round(cell.first());
        cell.observe(1000, 900);
        cell.advance(evidence_window_length);
        cell.round(cell.second());
        REQUIRE(cell.move().state == move_state::rolled_back);
        cell.first().store.thaw();
        cell.poll();
        CHECK(cell.move().state == move_state::rolled_back);
        CHECK(cell.first().events.value("move_steps_conflict") == 1);
    }
    SUBCASE("and a later move of the same service waits until the first has ended")
    {
        move_record later;
        later.plan = { "",
                       "standings",
                       move_kind::version,
                       "v2",
                       "v1",
                       start + std::chrono::minutes(30),
                       start + std::chrono::minutes(60) };
        later.plan.id = moveIdOf(later.plan);
        const std::string key = moveKey("main", later.plan);
        cell.keys.apply({ {}, { { key, encodeMove(later) } }, {} });
        cell.advance(std::chrono::minutes(40));
        for (int i = 0; i < 3; ++i) {
            cell.first().follow();
            cell.round(cell.first());
        }
        CHECK(cell.move().state == move_state::late);
        CHECK(decodeMove(cell.keys.entries.at(key).value)->state == move_state::planned);
        CHECK(cell.service().findVersion("v1")->sharePermille
                  + cell.service().findVersion("v2")->sharePermille
              == 1000);
        cell.observe(1000, 900);
        cell.advance(evidence_window_length);
        for (int i = 0; i < 3; ++i) {
            cell.first().follow();
            cell.round(cell.first());
        }
        REQUIRE(cell.move().state == move_state::rolled_back);
        CHECK(decodeMove(cell.keys.entries.at(key).value)->state != move_state::planned);
    }
    SUBCASE("and stops at once with the node")
    {
        cell.first().driver.stop();
        cell.observe(1000, 0);
        cell.advance(long_enough);
        cell.first().follow();
        cell.round(cell.first());
        CHECK(cell.move().step == 1);
    }
}

TEST_CASE("Members agree on who drives the moves of a service")
{
    cell_view view;
    CHECK(driverOf(view, "standings").empty());
    for (const char *name : { "n1", "n2", "n3" })
        view.put({ name, 1, "kl-a", {}, {}, false });
    SUBCASE("and a member that leaves drives nothing")
    {
        const std::string driver = driverOf(view, "standings");
        member leaving = *view.find(driver);
        leaving.leaving = true;
        view.put(leaving);
        CHECK(driverOf(view, "standings") != driver);
        CHECK(!driverOf(view, "standings").empty());
    }
}

TEST_CASE("Two drivers, freezes, lost answers, outages and operators in any order")
{
    SUBCASE("a move only goes forward, one step at a time, and the configuration with it")
    {
        CHECK(rc::check([] {
            driven_cell cell;
            const configuration_keys configKeys("main");
            move_record before = cell.move();
            bool wasBlocked = false;
            const int events = *rc::gen::inRange(10, 80);
            for (int i = 0; i < events; ++i) {
                driving_node &node = *rc::gen::arbitrary<bool>() ? cell.first() : cell.second();
                switch (*rc::gen::inRange(0, 8)) {
                case 0:
                    node.store.mood
                        = *rc::gen::element(store_mood::answers, store_mood::down,
                                            store_mood::answer_lost, store_mood::frozen);
                    RC_LOG() << nameOf(node.store.mood) << '\n';
                    break;
                case 1:
                    node.store.thaw();
                    cell.poll();
                    break;
                case 2:
                    node.follow();
                    break;
                case 3:
                    cell.observe(600, *rc::gen::inRange(0, 8) == 0 ? 300 : 0);
                    break;
                case 4:
                    cell.keys.apply({ {}, { { configKeys.head(), "operator" } }, {} });
                    break;
                case 5:
                    cell.advance(std::chrono::seconds(*rc::gen::inRange(1, 200)));
                    break;
                default:
                    node.follow();
                    cell.round(node);
                }
                const move_record after = cell.move();
                const service_config service = cell.service();
                const version_config &older = *service.findVersion("v1");
                const version_config &newer = *service.findVersion("v2");
                RC_ASSERT(after.step >= before.step);
                RC_ASSERT(after.step <= before.step + 1);
                RC_ASSERT(!isFinal(before.state) || after == before);
                RC_ASSERT(after.state >= before.state);
                RC_ASSERT(newer.sharePermille == after.sharePermille);
                RC_ASSERT(older.sharePermille + newer.sharePermille == 1000);
                RC_ASSERT(newer.blocked == (after.state == move_state::rolled_back));
                RC_ASSERT(newer.blocked || !wasBlocked);
                wasBlocked = newer.blocked;
                before = after;
            }
            cell.first().store.thaw();
            cell.second().store.thaw();
            cell.poll();
        }));
    }
    SUBCASE("and once the store answers again a good version is moved")
    {
        driven_cell cell;
        for (int i = 0; i < 400 && !isFinal(cell.move().state); ++i) {
            driving_node &node = i % 2 == 0 ? cell.first() : cell.second();
            node.store.mood = i % 7 == 3 ? store_mood::down
                : i % 5 == 2             ? store_mood::answer_lost
                                         : store_mood::answers;
            cell.observe(200, 0);
            cell.advance(evidence_window_length);
            node.follow();
            cell.round(node);
        }
        CHECK(cell.move().state == move_state::done);
        CHECK(cell.now <= cell.move().plan.finishBy);
        CHECK(cell.service().findVersion("v2")->sharePermille == 1000);

        SUBCASE("and is forgotten some days later")
        {
            cell.advance(std::chrono::hours(71));
            cell.round(cell.first());
            REQUIRE(cell.hasMove());
            cell.advance(std::chrono::hours(2));
            cell.round(cell.first());
            CHECK(!cell.hasMove());
        }
    }
}
