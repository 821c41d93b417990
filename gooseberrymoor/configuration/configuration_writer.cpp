#include "gooseberrymoor/configuration/configuration_writer.h"

#include "gooseberrymoor/base/timer.h"
#include "gooseberrymoor/configuration/change_outcome_resolver.h"
#include "gooseberrymoor/configuration/change_record.h"
#include "gooseberrymoor/configuration/configuration_change.h"
#include "gooseberrymoor/store/key_value_store.h"

#include <random>

namespace gooseberrymoor {

namespace {

// Lifetime of an operation key, far longer than it takes to determine an outcome. After the lease
// has expired the store rejects a late change, because the change refers to the lease too.
constexpr duration operation_key_ttl { 600'000 };
constexpr duration max_resolution_time { 15'000 };
constexpr duration resolution_retry_delay { 250 };

std::string newOperationId()
{
    std::random_device source;
    return std::to_string(std::uniform_int_distribution<std::uint64_t>()(source));
}

// Transactions are built in plain functions because g++ 12 cannot compile initializer lists in
// co_await expressions.
store_transaction abandonTransaction(const std::string &operationKey, std::int64_t lease)
{
    return { { { operationKey, 0 } },
             { { operationKey, change_outcome_resolver::abandonedMarker(), lease } },
             {} };
}

store_transaction changeTransaction(const configuration_keys &keys, std::int64_t baseRevision,
                                    configuration_change change, const std::string &operationKey,
                                    const std::string &record, std::int64_t lease)
{
    change.puts.push_back({ keys.head(), record, 0 });
    change.puts.push_back({ operationKey, record, lease });
    return { { { keys.head(), baseRevision }, { operationKey, 0 } },
             std::move(change.puts),
             std::move(change.deletes) };
}

change_result notAccepted(std::int64_t baseRevision, const std::string &detail)
{
    return { change_state::not_accepted, baseRevision, detail };
}

asio::awaitable<void> sleepFor(duration time)
{
    timer pause(co_await asio::this_coro::executor, millis_clock::now() + time);
    co_await pause.async_wait(as_result);
}

} // namespace

configuration_writer::configuration_writer(key_value_store &store, configuration_keys keys,
                                           std::string author)
    : m_store(store), m_keys(std::move(keys)), m_author(std::move(author))
{
}

asio::awaitable<change_result> configuration_writer::write(std::int64_t baseRevision,
                                                           std::vector<store_put> puts)
{
    configuration_change change;
    change.puts = std::move(puts);
    co_return co_await write(baseRevision, std::move(change));
}

asio::awaitable<change_result> configuration_writer::write(std::int64_t baseRevision,
                                                           configuration_change change)
{
    const auto lease = co_await m_store.grantLease(operation_key_ttl);
    if (!lease)
        co_return notAccepted(baseRevision, lease.error().detail);
    const change_record record { newOperationId(), m_author, change.what };
    const std::string text = encodeChangeRecord(record);
    const std::string operationKey = m_keys.operation(record.operation);
    auto transaction
        = changeTransaction(m_keys, baseRevision, std::move(change), operationKey, text, lease->id);
    const auto result = co_await m_store.transact(std::move(transaction));
    if (result && result->succeeded)
        co_return change_result { change_state::accepted, result->revision, "" };
    if (result)
        co_return co_await reportConflict(baseRevision);
    if (result.error().outcome == verdict::not_run)
        co_return notAccepted(baseRevision, result.error().detail);
    auto resolved = co_await resolveOutcome(operationKey, text, lease->id);
    if (resolved.state == change_state::not_accepted)
        resolved.revision = baseRevision;
    co_return resolved;
}

asio::awaitable<change_result> configuration_writer::resolveOutcome(std::string operationKey,
                                                                    std::string record,
                                                                    std::int64_t lease)
{
    change_outcome_resolver resolver(std::move(record), millis_clock::now() + max_resolution_time);
    for (auto step = resolver.next(millis_clock::now()); step != resolution_step::done;
         step = resolver.next(millis_clock::now())) {
        if (step == resolution_step::abandon) {
            auto transaction = abandonTransaction(operationKey, lease);
            resolver.onAbandon(co_await m_store.transact(std::move(transaction)));
            continue;
        }
        const auto operation = co_await m_store.readKey(operationKey);
        resolver.onOperation(operation);
        if (!operation)
            co_await sleepFor(resolution_retry_delay);
    }
    co_return resolver.result();
}

// Reports the change that was committed first.
asio::awaitable<change_result> configuration_writer::reportConflict(std::int64_t baseRevision)
{
    const auto read = co_await m_store.readKey(m_keys.head());
    if (!read)
        co_return change_result { change_state::conflict, baseRevision, read.error().detail };
    if (read->entries.empty())
        co_return change_result { change_state::conflict, 0, "the configuration was removed" };
    const store_entry &head = read->entries.front();
    const auto record = decodeChangeRecord(head.value);
    const std::string detail = record ? describe(*record) : head.value;
    co_return change_result { change_state::conflict, head.modRevision, detail };
}

} // namespace gooseberrymoor
