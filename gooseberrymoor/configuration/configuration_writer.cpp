#include "gooseberrymoor/configuration/configuration_writer.h"

#include "gooseberrymoor/base/timer.h"
#include "gooseberrymoor/configuration/change_outcome_resolver.h"
#include "gooseberrymoor/configuration/change_record.h"
#include "gooseberrymoor/configuration/configuration_change.h"
#include "gooseberrymoor/store/key_value_store.h"

#include <random>

namespace gooseberrymoor {

namespace {

// How long an operation key stands, far longer than a settlement takes. Once the lease has ended
// the store refuses the change itself, since the change names the lease too.
constexpr duration operation_lease { 600'000 };
constexpr duration longest_settlement { 15'000 };
constexpr duration settlement_pause { 250 };

std::string newOperationId()
{
    std::random_device source;
    return std::to_string(std::uniform_int_distribution<std::uint64_t>()(source));
}

// Built outside the tasks: g++ 12 cannot compile initializer lists in a co_await expression.
store_transaction abandonment(const std::string &operationKey, std::int64_t lease)
{
    return { { { operationKey, 0 } },
             { { operationKey, change_outcome_resolver::abandonedMarker(), lease } },
             {} };
}

store_transaction transactionFrom(const configuration_keys &keys, std::int64_t baseRevision,
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

asio::awaitable<void> pauseFor(duration time)
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
    const auto lease = co_await m_store.grantLease(operation_lease);
    if (!lease)
        co_return notAccepted(baseRevision, lease.error().detail);
    const change_record record { newOperationId(), m_author, change.what };
    const std::string text = encodeChangeRecord(record);
    const std::string operationKey = m_keys.operation(record.operation);
    auto transaction
        = transactionFrom(m_keys, baseRevision, std::move(change), operationKey, text, *lease);
    const auto result = co_await m_store.transact(std::move(transaction));
    if (result && result->succeeded)
        co_return change_result { change_state::accepted, result->revision, "" };
    if (result)
        co_return co_await conflictWith(baseRevision);
    if (result.error().outcome == verdict::not_run)
        co_return notAccepted(baseRevision, result.error().detail);
    auto settled = co_await settle(operationKey, text, *lease);
    if (settled.state == change_state::not_accepted)
        settled.revision = baseRevision;
    co_return settled;
}

asio::awaitable<change_result> configuration_writer::settle(std::string operationKey,
                                                            std::string record, std::int64_t lease)
{
    change_outcome_resolver settlement(std::move(record), millis_clock::now() + longest_settlement);
    for (auto step = settlement.next(millis_clock::now()); step != resolution_step::done;
         step = settlement.next(millis_clock::now())) {
        if (step == resolution_step::abandon) {
            auto transaction = abandonment(operationKey, lease);
            settlement.onAbandon(co_await m_store.transact(std::move(transaction)));
            continue;
        }
        const auto operation = co_await m_store.readKey(operationKey);
        settlement.onOperation(operation);
        if (!operation)
            co_await pauseFor(settlement_pause);
    }
    co_return settlement.result();
}

// Tells whose change came first.
asio::awaitable<change_result> configuration_writer::conflictWith(std::int64_t baseRevision)
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
