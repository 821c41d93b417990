#pragma once

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/configuration/change_result.h"
#include "gooseberrymoor/configuration/configuration.h"
#include "gooseberrymoor/configuration/configuration_keys.h"
#include "gooseberrymoor/membership/cell_view.h"
#include "gooseberrymoor/store/etcd_store.h"

#include <tl/expected.hpp>

#include <string>

namespace gooseberrymoor {

class command_arguments;
struct configuration_change;

// Reads and writes the store of a cell for one command. Errors are human-readable and say what the
// operator can do. Not thread-safe.
class store_session
{
public:
    // Creates a session from --store, --cell and --author.
    static tl::expected<store_session, std::string> open(const command_arguments &arguments);

    // Reads the current configuration without `excludedKey`, so that a malformed value of that key
    // can be replaced or removed.
    asio::awaitable<tl::expected<configuration, std::string>> load(std::string excludedKey = "");

    // Reads the current members of the cell.
    asio::awaitable<tl::expected<cell_view, std::string>> loadView();

    // Writes `change`, which was derived from the configuration at revision `baseRevision`.
    asio::awaitable<change_result> write(std::int64_t baseRevision, configuration_change change);

    // The underlying store, for data other than the configuration.
    key_value_store &store() { return *m_store; }

    const configuration_keys &keys() const { return m_keys; }

private:
    store_session(std::vector<endpoint> addresses, std::string cell, std::string author);

    std::string m_cell;
    std::string m_author;
    configuration_keys m_keys;
    std::unique_ptr<counters> m_events;
    std::unique_ptr<etcd_store> m_store;
};

} // namespace gooseberrymoor
