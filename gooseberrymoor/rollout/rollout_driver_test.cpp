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

// How the store handles a call.
enum class store_behavior {
    normal,
    unreachable, // the call never arrives
    reply_lost, // the transaction is applied, but the reply is lost
    delayed, // the call waits until `resume`
};

constexpr name_table<store_behavior, 4> names(store_behavior)
{
    return { { { store_behavior::normal, "normal" },
               { store_behavior::unreachable, "unreachable" },
               { store_behavior::reply_lost, "reply_lost" },
               { store_behavior::delayed, "delayed" } } };
}

// The content of the store, shared by all drivers.
struct shared_keys
{
    std::map<std::string, store_entry> entries;
    std::int64_t revision = 1;

    bool apply(const store_transaction &transaction)
    {
        for (const store_compare &compare : transaction.compares) {
            const auto found = entries.find(compare.key);
            if ((found == entries.end() ? 0 : found->second.modRevision) != compare.modRevision)
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

// One driver's connection to the store.
class fake_store : public key_value_store
{
public:
    fake_store(asio::any_io_executor executor, shared_keys &keys)
        : m_keys(keys), m_resumed(std::move(executor))
    {
    }

    asio::awaitable<tl::expected<store_read, store_error>> readPrefix(std::string prefix) override
    {
        if (behavior == store_behavior::unreachable)
            co_return tl::unexpected(store_error {});
        co_return m_keys.read(prefix);
    }

    asio::awaitable<tl::expected<transaction_result, store_error>>
    transact(store_transaction transaction) override
    {
        if (behavior == store_behavior::unreachable)
            co_return tl::unexpected(store_error {});
        while (behavior == store_behavior::delayed)
            co_await m_resumed.wait();
        const bool replyLost = behavior == store_behavior::reply_lost;
        const bool succeeded = m_keys.apply(transaction);
        if (replyLost)
            co_return tl::unexpected(
                store_error { store_failure::timed_out, verdict::may_have_run, "" });
        co_return transaction_result { succeeded, m_keys.revision };
    }

    void resume()
    {
        behavior = store_behavior::normal;
        m_resumed.notify();
    }

    store_behavior behavior = store_behavior::normal;

private:
    shared_keys &m_keys;
    gooseberrymoor::signal m_resumed;
};

class recording_log : public event_log
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

// A node that drives moves. Its view lists only itself, so each node considers itself the
// driver.
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

    // Loads the current configuration from the store.
    void loadConfiguration()
    {
        const configuration_keys configKeys("main");
        auto next = parseConfiguration(keys.read(configKeys.root()), configKeys);
        REQUIRE(next);
        configurations.offer(std::move(*next));
    }

    // Starts one round, unless the previous one still waits for the store.
    void startRound()
    {
        if (!busy)
            startTask(executor, events, "round", runRound());
    }

    asio::awaitable<void> runRound()
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
    recording_log log;
    counters events;
    rollout_driver driver;
    bool busy = false;
};

// A cell with one service, one move of it, and two nodes that both drive the move.
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

    // Records `newCount` requests of each version at both nodes, of which the new version fails
    // `newErrors`.
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

    void runRound(driving_node &node)
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

constexpr std::chrono::milliseconds step_duration { 300'000 };

} // namespace

TEST_CASE("A node drives a move")
{
    driven_cell cell;
    cell.first().loadConfiguration();
    cell.runRound(cell.first());
    REQUIRE(cell.move().step == 1);
    cell.advance(evidence_window_length);
    SUBCASE("and changes the configuration in the same transaction")
    {
        CHECK(cell.service().findVersion("v2")->sharePermille == rollout_shares_permille.front());
        CHECK(cell.first().log.lines.size() == 1);
        CHECK(cell.first().log.lines.front().find("state=moving") != std::string::npos);
    }
    SUBCASE("and a step based on an outdated configuration is rejected")
    {
        cell.observe(1000, 0);
        cell.advance(step_duration);
        cell.runRound(cell.first());
        CHECK(cell.move().step == 1);
        CHECK(cell.first().events.value("move_steps_conflict") == 1);
        cell.first().loadConfiguration();
        cell.runRound(cell.first());
        CHECK(cell.move().step == 2);
    }
    SUBCASE("and another node continues from the store")
    {
        cell.second().loadConfiguration();
        cell.observe(1000, 0);
        cell.advance(step_duration);
        cell.runRound(cell.second());
        CHECK(cell.move().step == 2);
        CHECK(cell.move().state == move_state::moving);
    }
    SUBCASE("and pauses while the store is unreachable")
    {
        cell.first().loadConfiguration();
        cell.observe(1000, 0);
        cell.advance(step_duration);
        cell.first().store.behavior = store_behavior::unreachable;
        cell.runRound(cell.first());
        CHECK(cell.move().step == 1);
        cell.first().store.behavior = store_behavior::normal;
        cell.runRound(cell.first());
        CHECK(cell.move().step == 2);
    }
    SUBCASE("and reads the move back after a lost reply, so no step is taken twice")
    {
        cell.first().loadConfiguration();
        cell.observe(1000, 0);
        cell.advance(step_duration);
        cell.first().store.behavior = store_behavior::reply_lost;
        cell.runRound(cell.first());
        CHECK(cell.move().step == 2);
        cell.first().store.behavior = store_behavior::normal;
        cell.runRound(cell.first());
        CHECK(cell.move().step == 2);
        CHECK(cell.first().events.value("move_steps_unknown") == 1);
    }
    SUBCASE("and a delayed step does not undo a rollback by another driver")
    {
        cell.first().loadConfiguration();
        cell.second().loadConfiguration();
        cell.observe(1000, 0);
        cell.advance(step_duration);
        cell.first().store.behavior = store_behavior::delayed;
        cell.runRound(cell.first());
        CHECK(cell.move().step == 1);
        cell.observe(1000, 900);
        cell.advance(evidence_window_length);
        cell.runRound(cell.second());
        REQUIRE(cell.move().state == move_state::rolled_back);
        cell.first().store.resume();
        cell.poll();
        CHECK(cell.move().state == move_state::rolled_back);
        CHECK(cell.service().findVersion("v2")->blocked);
        CHECK(cell.service().findVersion("v2")->sharePermille == 0);
        CHECK(cell.service().findVersion("v1")->sharePermille == 1000);
        CHECK(cell.second().log.lines.back().find("cause=errors") != std::string::npos);
    }
    SUBCASE("and a delayed change to `late` does not undo a rollback by another driver")
    {
        cell.first().loadConfiguration();
        cell.second().loadConfiguration();
        cell.advance(std::chrono::minutes(30));
        cell.first().store.behavior = store_behavior::delayed;
        cell.runRound(cell.first());
        cell.observe(1000, 900);
        cell.advance(evidence_window_length);
        cell.runRound(cell.second());
        REQUIRE(cell.move().state == move_state::rolled_back);
        cell.first().store.resume();
        cell.poll();
        CHECK(cell.move().state == move_state::rolled_back);
        CHECK(cell.first().events.value("move_steps_conflict") == 1);
    }
    SUBCASE("and a later move of the same service waits until the first one is final")
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
            cell.first().loadConfiguration();
            cell.runRound(cell.first());
        }
        CHECK(cell.move().state == move_state::late);
        CHECK(decodeMove(cell.keys.entries.at(key).value)->state == move_state::planned);
        CHECK(cell.service().findVersion("v1")->sharePermille
                  + cell.service().findVersion("v2")->sharePermille
              == 1000);
        cell.observe(1000, 900);
        cell.advance(evidence_window_length);
        for (int i = 0; i < 3; ++i) {
            cell.first().loadConfiguration();
            cell.runRound(cell.first());
        }
        REQUIRE(cell.move().state == move_state::rolled_back);
        CHECK(decodeMove(cell.keys.entries.at(key).value)->state != move_state::planned);
    }
    SUBCASE("and takes no step after `stop`")
    {
        cell.first().driver.stop();
        cell.observe(1000, 0);
        cell.advance(step_duration);
        cell.first().loadConfiguration();
        cell.runRound(cell.first());
        CHECK(cell.move().step == 1);
    }
}

TEST_CASE("Members agree on the driver of a service's moves")
{
    cell_view view;
    CHECK(driverOf(view, "standings").empty());
    for (const char *name : { "n1", "n2", "n3" })
        view.put({ name, 1, "kl-a", {}, {}, false });
    SUBCASE("and a leaving member is not the driver")
    {
        const std::string driver = driverOf(view, "standings");
        member leaving = *view.find(driver);
        leaving.leaving = true;
        view.put(leaving);
        CHECK(driverOf(view, "standings") != driver);
        CHECK(!driverOf(view, "standings").empty());
    }
}

TEST_CASE("Two drivers with delayed writes, lost replies, outages and operator changes")
{
    SUBCASE("a move only advances, one step at a time and together with the configuration")
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
                    node.store.behavior
                        = *rc::gen::element(store_behavior::normal, store_behavior::unreachable,
                                            store_behavior::reply_lost, store_behavior::delayed);
                    RC_LOG() << nameOf(node.store.behavior) << '\n';
                    break;
                case 1:
                    node.store.resume();
                    cell.poll();
                    break;
                case 2:
                    node.loadConfiguration();
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
                    node.loadConfiguration();
                    cell.runRound(node);
                }
                const move_record after = cell.move();
                const service_config service = cell.service();
                const version_config &oldVersion = *service.findVersion("v1");
                const version_config &newVersion = *service.findVersion("v2");
                RC_ASSERT(after.step >= before.step);
                RC_ASSERT(after.step <= before.step + 1);
                RC_ASSERT(!isFinal(before.state) || after == before);
                RC_ASSERT(after.state >= before.state);
                RC_ASSERT(newVersion.sharePermille == after.sharePermille);
                RC_ASSERT(oldVersion.sharePermille + newVersion.sharePermille == 1000);
                RC_ASSERT(newVersion.blocked == (after.state == move_state::rolled_back));
                RC_ASSERT(newVersion.blocked || !wasBlocked);
                wasBlocked = newVersion.blocked;
                before = after;
            }
            cell.first().store.resume();
            cell.second().store.resume();
            cell.poll();
        }));
    }
    SUBCASE("and a good version is rolled out in spite of outages and lost replies")
    {
        driven_cell cell;
        for (int i = 0; i < 400 && !isFinal(cell.move().state); ++i) {
            driving_node &node = i % 2 == 0 ? cell.first() : cell.second();
            node.store.behavior = i % 7 == 3 ? store_behavior::unreachable
                : i % 5 == 2                 ? store_behavior::reply_lost
                                             : store_behavior::normal;
            cell.observe(200, 0);
            cell.advance(evidence_window_length);
            node.loadConfiguration();
            cell.runRound(node);
        }
        CHECK(cell.move().state == move_state::done);
        CHECK(cell.now <= cell.move().plan.finishBy);
        CHECK(cell.service().findVersion("v2")->sharePermille == 1000);

        SUBCASE("and the move is deleted 72 hours later")
        {
            cell.advance(std::chrono::hours(71));
            cell.runRound(cell.first());
            REQUIRE(cell.hasMove());
            cell.advance(std::chrono::hours(2));
            cell.runRound(cell.first());
            CHECK(!cell.hasMove());
        }
    }
}
