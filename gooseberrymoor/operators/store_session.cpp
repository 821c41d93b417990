#include "gooseberrymoor/operators/store_session.h"

#include "gooseberrymoor/configuration/configuration_change.h"
#include "gooseberrymoor/configuration/configuration_document.h"
#include "gooseberrymoor/configuration/configuration_writer.h"
#include "gooseberrymoor/membership/cell_view_codec.h"
#include "gooseberrymoor/operators/command_arguments.h"

namespace gooseberrymoor {

namespace {

constexpr duration call_timeout { 3000 };

std::string readErrorText(const store_error &error)
{
    return "the store cannot be read (" + std::string(nameOf(error.failure)) + ": " + error.detail
        + "); check --store, or wait until it is back: nodes go on with what they have";
}

} // namespace

tl::expected<store_session, std::string> store_session::open(const command_arguments &arguments)
{
    auto addresses = arguments.addresses("--store");
    if (!addresses)
        return tl::unexpected(addresses.error());
    return store_session(std::move(*addresses), arguments.text("--cell"),
                         arguments.text("--author"));
}

store_session::store_session(std::vector<endpoint> addresses, std::string cell, std::string author)
    : m_cell(std::move(cell)), m_author(std::move(author)), m_keys(m_cell),
      m_events(std::make_unique<counters>()),
      m_store(std::make_unique<etcd_store>(std::move(addresses), call_timeout, *m_events))
{
}

asio::awaitable<tl::expected<configuration, std::string>>
store_session::load(std::string excludedKey)
{
    auto read = co_await m_store->readPrefix(m_keys.root());
    if (!read) // the retry uses the next address
        read = co_await m_store->readPrefix(m_keys.root());
    if (!read)
        co_return tl::unexpected(readErrorText(read.error()));
    std::erase_if(read->entries, [&](const store_entry &each) { return each.key == excludedKey; });
    auto current = parseConfiguration(*read, m_keys);
    if (!current)
        co_return tl::unexpected("the configuration is malformed at " + current.error()
                                 + "; replace or remove that service");
    co_return std::move(*current);
}

asio::awaitable<tl::expected<cell_view, std::string>> store_session::loadView()
{
    const auto read = co_await m_store->readKey("/gooseberrymoor/" + m_cell + "/view");
    if (!read)
        co_return tl::unexpected(readErrorText(read.error()));
    if (read->entries.empty())
        co_return cell_view();
    auto view = decodeView(read->entries.front().value);
    if (!view)
        co_return tl::unexpected("the membership view is malformed: " + view.error());
    co_return std::move(*view);
}

asio::awaitable<change_result> store_session::write(std::int64_t baseRevision,
                                                    configuration_change change)
{
    configuration_writer writer(*m_store, m_keys, m_author);
    co_return co_await writer.write(baseRevision, std::move(change));
}

} // namespace gooseberrymoor
