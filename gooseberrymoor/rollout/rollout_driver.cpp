#include "gooseberrymoor/rollout/rollout_driver.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/configuration/configuration_codec.h"
#include "gooseberrymoor/configuration/configuration_holder.h"
#include "gooseberrymoor/configuration/configuration_keys.h"
#include "gooseberrymoor/rollout/move_codec.h"
#include "gooseberrymoor/rollout/move_decision.h"
#include "gooseberrymoor/rollout/move_driver_choice.h"
#include "gooseberrymoor/rollout/version_evidence.h"
#include "gooseberrymoor/store/key_value_store.h"

#include <boost/json.hpp>

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr std::chrono::hours final_move_retention { 72 };

} // namespace

rollout_driver::rollout_driver(asio::any_io_executor executor, rollout_settings settings,
                               key_value_store &store, const configuration_holder &configurations,
                               const version_evidence &evidence, view_source view,
                               wall_clock wallNow, event_log &log, counters &events)
    : m_settings(std::move(settings)), m_store(store), m_configurations(configurations),
      m_evidence(evidence), m_view(std::move(view)), m_wallNow(std::move(wallNow)), m_log(log),
      m_events(events), m_wake(std::move(executor)), m_random(m_settings.seed)
{
}

asio::awaitable<void> rollout_driver::run()
{
    while (!m_stopped) {
        co_await driveOnce();
        if (!m_stopped)
            co_await m_wake.wait(millis_clock::now() + nextPollDelay());
    }
}

void rollout_driver::stop()
{
    m_stopped = true;
    m_wake.notify();
}

asio::awaitable<void> rollout_driver::driveOnce()
{
    m_hasOpenMoves = false;
    for (const std::string &service : drivenServices()) {
        if (!m_stopped && drives(service))
            co_await driveService(service);
    }
}

asio::awaitable<void> rollout_driver::driveService(std::string service)
{
    const auto read = co_await m_store.readPrefix(movesPrefix(m_settings.cell, service));
    if (!read) {
        m_events.add("moves_not_read");
        m_hasOpenMoves = true;
        co_return;
    }
    std::vector<std::string> malformed;
    const std::vector<move_record> records = decodeMoves(*read, malformed);
    m_events.add("moves_malformed", malformed.size());
    for (const move_record &record : records) {
        if (m_stopped || !drives(service))
            co_return;
        logStateChange(record);
        m_hasOpenMoves = m_hasOpenMoves || !isFinal(record.state);
        if (isFinal(record.state))
            co_await deleteIfExpired(record);
        else if (!mustWait(record, records))
            co_await drive(record);
    }
}

// A sheet that still holds the row cannot plan it anew: its finish time has passed.
asio::awaitable<void> rollout_driver::deleteIfExpired(move_record record)
{
    if (m_wallNow() < std::max(record.plan.finishBy, record.stepBegan) + final_move_retention)
        co_return;
    store_transaction transaction;
    transaction.compares.push_back({ moveKey(m_settings.cell, record.plan), record.revision });
    transaction.deletes.push_back(moveKey(m_settings.cell, record.plan));
    const auto result = co_await m_store.transact(std::move(transaction));
    if (!result || !result->succeeded)
        co_return;
    m_seen.erase(record.plan.id);
    m_events.add("moves_forgotten");
}

asio::awaitable<void> rollout_driver::drive(move_record record)
{
    const auto current = m_configurations.current();
    if (current->revision == 0)
        co_return;
    const wall_time now = m_wallNow();
    version_comparison comparison;
    if (record.plan.kind == move_kind::version && record.state != move_state::planned)
        comparison = m_evidence.compare(comparisonFor(record, *current, m_settings.timing), now);
    const auto step = decideMove(record, *current, comparison, m_settings.timing, now);
    if (!step)
        co_return;
    const auto result = co_await m_store.transact(transactionFor(*step, current->revision));
    if (!result)
        m_events.add("move_steps_unknown");
    else if (!result->succeeded)
        m_events.add("move_steps_conflict");
    else
        m_events.add("move_steps_written");
    if (result && result->succeeded)
        logStateChange(step->next);
}

store_transaction rollout_driver::transactionFor(const move_step &step, std::int64_t baseRevision)
{
    const configuration_keys keys(m_settings.cell);
    const std::string key = moveKey(m_settings.cell, step.next.plan);
    store_transaction transaction;
    transaction.compares.push_back({ key, step.next.revision });
    transaction.puts.push_back({ key, encodeMove(step.next) });
    if (!step.changesConfiguration())
        return transaction;
    transaction.compares.push_back({ keys.head(), baseRevision });
    if (step.service)
        transaction.puts.push_back(
            { keys.service(step.service->name), encodeService(*step.service) });
    if (step.zonesOut)
        transaction.puts.push_back({ keys.zonesOut(), encodeZones(*step.zonesOut) });
    const boost::json::object head { { "operation", std::to_string(m_random()) },
                                     { "author", "move " + step.next.plan.id } };
    transaction.puts.push_back({ keys.head(), boost::json::serialize(head) });
    return transaction;
}

// The empty service stands for the availability zones.
std::vector<std::string> rollout_driver::drivenServices() const
{
    std::vector<std::string> services;
    if (drives(""))
        services.emplace_back();
    const auto current = m_configurations.current();
    for (const auto &[name, service] : current->services) {
        if (drives(name))
            services.push_back(name);
    }
    return services;
}

bool rollout_driver::drives(const std::string &service) const
{
    return driverOf(m_view(), service) == m_settings.ownName;
}

// A final state that was never seen to change is history, not news.
void rollout_driver::logStateChange(const move_record &record)
{
    const auto [found, first] = m_seen.try_emplace(record.plan.id, record);
    const move_state before = found->second.state;
    found->second = record;
    if (first && (isFinal(record.state) || record.state == move_state::planned))
        return;
    if (!first && before == record.state)
        return;
    m_events.add("move_state_changes");
    m_log.write("move_state",
                { { "move", record.plan.id },
                  { "service", record.plan.service },
                  { "kind", std::string(nameOf(record.plan.kind)) },
                  { "state", std::string(nameOf(record.state)) },
                  { "share_permille", std::to_string(record.sharePermille) },
                  { "cause", std::string(nameOf(record.cause.reason)) },
                  { "route", record.cause.route },
                  { "detail", record.cause.detail } });
}

// With jitter, so that drivers do not meet at the store.
duration rollout_driver::nextPollDelay()
{
    const duration poll = m_hasOpenMoves ? m_settings.poll : m_settings.idlePollInterval;
    std::uniform_int_distribution<std::int64_t> jitter(0, poll.count() / 2);
    return poll - poll / 4 + duration(jitter(m_random));
}

} // namespace gooseberrymoor
