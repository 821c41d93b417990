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

// One command's dealings with the store of a cell. Errors are for people and say what to do.
// Not thread-safe.
class store_session
{
public:
    // Reads --store, --cell and --author.
    static tl::expected<store_session, std::string> open(const command_arguments &arguments);

    // The configuration now. The key `ignored` is left out, so that a malformed one can be
    // replaced or removed.
    asio::awaitable<tl::expected<configuration, std::string>> load(std::string ignored = "");

    // The members of the cell now.
    asio::awaitable<tl::expected<cell_view, std::string>> loadView();

    // Writes `change`, made from the configuration at revision `baseRevision`.
    asio::awaitable<change_result> write(std::int64_t baseRevision, configuration_change change);

    // The store itself, for what is no change of the configuration.
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
