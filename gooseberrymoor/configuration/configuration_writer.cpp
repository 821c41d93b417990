#include "gooseberrymoor/configuration/configuration_writer.h"

#include "gooseberrymoor/store/key_value_store.h"

#include <boost/json.hpp>

#include <random>

namespace gooseberrymoor {

namespace {

std::string newOperationId()
{
    std::random_device source;
    return std::to_string(std::uniform_int_distribution<std::uint64_t>()(source));
}

// Built outside the task: g++ 12 cannot compile initializer lists in a co_await expression.
store_transaction changeFrom(const std::string &headKey, std::int64_t basis,
                             std::vector<store_put> puts)
{
    return { { { headKey, basis } }, std::move(puts), {} };
}

} // namespace

configuration_writer::configuration_writer(key_value_store &store, configuration_keys keys,
                                           std::string author)
    : m_store(store), m_keys(std::move(keys)), m_author(std::move(author))
{
}

asio::awaitable<change_result> configuration_writer::write(std::int64_t basis,
                                                           std::vector<store_put> puts)
{
    const std::string head = boost::json::serialize(
        boost::json::object { { "operation", newOperationId() }, { "author", m_author } });
    puts.push_back({ m_keys.head(), head });
    const auto result
        = co_await m_store.transact(changeFrom(m_keys.head(), basis, std::move(puts)));
    if (result && result->succeeded)
        co_return change_result { change_state::accepted, result->revision, "" };
    if (!result && result.error().outcome == verdict::not_run)
        co_return change_result { change_state::not_accepted, basis, result.error().detail };
    const auto read = co_await m_store.readPrefix(m_keys.head());
    if (!read)
        co_return change_result { change_state::unknown, basis, read.error().detail };
    if (read->entries.empty())
        co_return change_result { change_state::not_accepted, basis, "" };
    const store_entry &present = read->entries.front();
    if (present.value == head)
        co_return change_result { change_state::accepted, present.modRevision, "" };
    co_return change_result { change_state::conflict, present.modRevision, present.value };
}

} // namespace gooseberrymoor
