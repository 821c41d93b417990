#include "gooseberrymoor/mirror/applied_changes.h"
#include "gooseberrymoor/mirror/mirror_listener.h"
#include "gooseberrymoor/mirror/store_availability.h"
#include "gooseberrymoor/mirror/store_mirror.h"
#include "gooseberrymoor/store/store_entry.h"
#include "gooseberrymoor/store/store_era_tracker.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <set>

using namespace gooseberrymoor;

namespace {

constexpr duration step { 100 };
constexpr duration beat_interval { 1200 }; // between two writes of a writer
constexpr duration rewrite_delay { 300 };
constexpr duration expiry_time { 3600 }; // of an entry that its writer doesn't write any more
constexpr duration max_answer_delay { 2000 };
// Time after the last fault in which the copy comes to match the truth: entries of ended writers
// have expired, and a removal that was read at the end of that time has been applied.
constexpr duration quiet_time { 4000 };
constexpr int other_writes_per_step = 3; // to keys below other prefixes
constexpr int writer_count = 4;

// What a writer says of itself: "start:sequence:state".
struct written_value
{
    int start = 0;
    int sequence = 0;
    bool isDraining = false;

    std::string text() const
    {
        return std::to_string(start) + ":" + std::to_string(sequence) + ":"
            + (isDraining ? "draining" : "ready");
    }
};

written_value parse(const std::string &text)
{
    written_value value;
    char *rest = nullptr;
    value.start = static_cast<int>(std::strtol(text.c_str(), &rest, 10));
    value.sequence = static_cast<int>(std::strtol(rest + 1, &rest, 10));
    value.isDraining = std::string(rest + 1) == "draining";
    return value;
}

class node_view : public mirror_listener
{
public:
    void onValue(const std::string &key, const std::string &value, std::int64_t) override
    {
        values[key] = parse(value);
    }
    void onRemoved(const std::string &key) override { values.erase(key); }
    bool isSignificantChange(const std::string &before, const std::string &after) const override
    {
        const written_value left = parse(before);
        const written_value right = parse(after);
        return left.start != right.start || left.isDraining != right.isDraining;
    }
    value_order orderOf(const std::string &value, const std::string &known) const override
    {
        const written_value left = parse(value);
        const written_value right = parse(known);
        if (left.start != right.start)
            return left.start > right.start ? value_order::later_start : value_order::older;
        return left.sequence < right.sequence ? value_order::older : value_order::not_older;
    }

    std::map<std::string, written_value> values;
};

// The store: keys whose entries expire, a history, and a copy to go back to.
class simulated_store
{
public:
    void put(const std::string &key, const std::string &value, time_point now)
    {
        m_contents.entries[key] = { key, value, ++m_contents.revision };
        m_writtenAt[key] = now;
        m_history.push_back({ key, value, m_contents.revision });
    }
    void remove(const std::string &key)
    {
        if (m_contents.entries.erase(key) > 0)
            m_history.push_back({ key, std::nullopt, ++m_contents.revision });
    }
    // Writes of keys below other prefixes raise the revision.
    void writeOthers(int count) { m_contents.revision += count; }
    void expire(time_point now)
    {
        std::vector<std::string> expired;
        for (const auto &[key, entry] : m_contents.entries) {
            if (now - m_writtenAt[key] > expiry_time)
                expired.push_back(key);
        }
        for (const std::string &key : expired)
            remove(key);
    }
    void copy() { m_copy = m_contents; }
    void restore(time_point now)
    {
        m_contents = m_copy;
        m_history.clear();
        m_historyStart = m_contents.revision;
        for (const auto &[key, entry] : m_contents.entries)
            m_writtenAt[key] = now;
        m_era = static_cast<store_era>(static_cast<std::uint64_t>(m_era) + 1);
    }
    store_read readAll() const
    {
        store_read read { m_contents.revision, {}, m_era };
        for (const auto &[key, entry] : m_contents.entries)
            read.entries.push_back(entry);
        return read;
    }
    // Nothing if the store does not have the history since `after`.
    std::optional<store_changes> readChanges(std::int64_t after) const
    {
        if (after < m_historyStart || after > m_contents.revision)
            return std::nullopt;
        store_changes read { m_contents.revision, {}, m_era };
        for (const store_change &each : m_history) {
            if (each.modRevision > after)
                read.changes.push_back(each);
        }
        return read;
    }

private:
    struct contents
    {
        std::map<std::string, store_entry> entries;
        std::int64_t revision = 1;
    };
    contents m_contents;
    contents m_copy;
    std::map<std::string, time_point> m_writtenAt;
    std::vector<store_change> m_history; // of this era
    std::int64_t m_historyStart = 1;
    store_era m_era = static_cast<store_era>(1);
};

// An answer of the store, or a peer's update, on its way to the node.
struct delivery
{
    time_point arrival {};
    std::optional<store_read> all;
    std::int64_t after = 0; // of `changes`
    store_changes changes;
};

// A writer, as it truly is.
struct writer
{
    written_value value;
    bool isAlive = true;
    time_point nextBeat {};
    std::string firstText {}; // what it wrote first in this start; empty before
};

class history
{
public:
    explicit history(bool hasLateAnswers) : m_hasLateAnswers(hasLateAnswers)
    {
        for (int i = 0; i < writer_count; ++i)
            m_writers["w" + std::to_string(i)] = { { 1, 0, false }, true, m_now };
        beat();
        m_store.copy();
        read(true, duration(0));
    }

    void play(int action, bool late, bool twice, const std::string &name)
    {
        writer &chosen = m_writers[name];
        switch (action) {
        case 0:
            chosen.value.isDraining = chosen.isAlive;
            chosen.nextBeat = soonestBeat();
            break;
        case 1: // it ends and removes its entry
            chosen.isAlive = false;
            m_store.remove(name);
            m_endedStarts[name].insert(chosen.value.start);
            break;
        case 2:
            if (!chosen.isAlive)
                chosen = { { chosen.value.start + 1, 0, false }, true, soonestBeat() };
            break;
        case 3:
            m_store.copy();
            break;
        case 4:
            m_store.restore(m_now);
            if (twice)
                scheduleRewrite();
            break;
        default: {
            const duration delay = late ? max_answer_delay : duration(0);
            read(action == 5, delay);
            if (twice)
                read(action == 5, delay / 2);
        }
        }
        m_store.writeOthers(other_writes_per_step);
        advance();
    }

    // Without further faults, until the copy must match the truth.
    void playQuietly()
    {
        for (duration time(0); time < quiet_time; time += step) {
            read(false, duration(0));
            advance();
        }
    }

    void checkMatchesTruth()
    {
        for (const auto &[name, each] : m_writers) {
            const auto known = m_view.values.find(name);
            RC_ASSERT(each.isAlive == (known != m_view.values.end()));
            if (each.isAlive) {
                RC_ASSERT(known->second.start == each.value.start);
                RC_ASSERT(known->second.isDraining == each.value.isDraining);
            }
        }
    }

private:
    void beat()
    {
        for (auto &[name, each] : m_writers) {
            if (!each.isAlive || m_now < each.nextBeat)
                continue;
            ++each.value.sequence;
            if (each.firstText.empty())
                each.firstText = each.value.text();
            m_store.put(name, each.value.text(), m_now);
            each.nextBeat = m_now + beat_interval;
        }
    }

    // After the store's return, the living writers write first what they had written first.
    void scheduleRewrite()
    {
        m_rewriteAt = m_now + rewrite_delay;
        for (auto &[name, each] : m_writers)
            each.nextBeat = std::max(each.nextBeat, m_rewriteAt + step);
    }

    time_point soonestBeat() const { return std::max(m_now, m_rewriteAt + step); }

    void rewrite()
    {
        if (m_now != m_rewriteAt)
            return;
        for (const auto &[name, each] : m_writers) {
            if (each.isAlive && !each.firstText.empty())
                m_store.put(name, each.firstText, m_now);
        }
    }

    void read(bool all, duration delay)
    {
        delivery answer;
        answer.arrival = m_now + delay;
        // A node whose copy is of an earlier era, or without the history, reads all keys.
        const auto changes = m_store.readChanges(m_mirror.revision());
        if (all || m_mirror.era() != m_era.current() || !changes) {
            answer.all = m_store.readAll();
        } else {
            answer.after = m_mirror.revision();
            answer.changes = *changes;
        }
        m_deliveries.push_back(std::move(answer));
    }

    void deliver(const delivery &answer)
    {
        const store_era era = answer.all ? answer.all->era : answer.changes.era;
        if (m_era.onSeen(era) == era_order::older)
            return;
        if (answer.all)
            m_mirror.onFullRead(*answer.all, m_now);
        else if (m_mirror.era() == era && m_mirror.revision() >= answer.after)
            m_mirror.onChanges(answer.changes.changes, answer.changes.revision, m_now);
    }

    void advance()
    {
        rewrite();
        beat();
        m_store.expire(m_now);
        const auto due
            = std::stable_partition(m_deliveries.begin(), m_deliveries.end(),
                                    [this](const delivery &each) { return each.arrival > m_now; });
        const std::vector<delivery> arrived(due, m_deliveries.end());
        m_deliveries.erase(due, m_deliveries.end());
        for (const delivery &each : arrived) {
            deliver(each);
            checkNothingRevived();
        }
        m_mirror.onTime(m_now);
        checkNothingRevived();
        m_now += step;
    }

    // What the node has known as draining isn't ready again in the same start, and what it has seen
    // end isn't there again.
    void checkNothingRevived()
    {
        for (const auto &[name, value] : m_view.values) {
            if (m_knownDraining[name].contains(value.start))
                RC_ASSERT(value.isDraining);
            RC_ASSERT(!m_knownEnded[name].contains(value.start));
            if (value.isDraining)
                m_knownDraining[name].insert(value.start);
        }
        for (const auto &[name, value] : m_before) {
            if (m_view.values.contains(name))
                continue;
            if (m_endedStarts[name].contains(value.start))
                m_knownEnded[name].insert(value.start);
            else if (!m_hasLateAnswers)
                RC_FAIL("a living writer is gone: " + name);
        }
        m_before = m_view.values;
    }

    time_point m_now { duration(100'000) };
    simulated_store m_store;
    std::map<std::string, writer> m_writers;
    node_view m_view;
    store_availability m_availability;
    store_mirror m_mirror { m_view, m_availability, duration(2500) };
    store_era_tracker m_era;
    std::vector<delivery> m_deliveries;
    std::map<std::string, std::set<int>> m_endedStarts; // in truth
    std::map<std::string, std::set<int>> m_knownDraining; // by the node
    std::map<std::string, std::set<int>> m_knownEnded; // by the node
    std::map<std::string, written_value> m_before; // the node's view at the last check
    time_point m_rewriteAt {};
    bool m_hasLateAnswers;
};

} // namespace

// Guards against what a drill may bring back: targets that drain or have ended, and answers of the
// history before it.
TEST_CASE("A node's copy of a store that comes back from older copies")
{
    const auto playRandomly = [](bool hasLateAnswers) {
        history played(hasLateAnswers);
        const auto steps = *rc::gen::inRange(20, 120);
        for (int i = 0; i < steps; ++i) {
            const int action = *rc::gen::weightedElement<int>(
                { { 2, 0 }, { 2, 1 }, { 2, 2 }, { 2, 3 }, { 2, 4 }, { 3, 5 }, { 20, 6 } });
            const auto writerNumber = *rc::gen::inRange(0, writer_count);
            const bool isLate = hasLateAnswers && *rc::gen::arbitrary<bool>();
            played.play(action, isLate, *rc::gen::arbitrary<bool>(),
                        "w" + std::to_string(writerNumber));
        }
        played.playQuietly();
        played.checkMatchesTruth();
    };
    CHECK(rc::check("drops no living writer, revives none that ended, and comes to match the truth",
                    [&] { playRandomly(false); }));
    CHECK(rc::check("revives none that ended when answers come late, and comes to match the truth",
                    [&] { playRandomly(true); }));
}
