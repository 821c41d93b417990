#pragma once

#include "gooseberrymoor/base/name_table.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/configuration/configuration_keys.h"
#include "gooseberrymoor/store/store_transaction.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrymoor {

class key_value_store;

// What became of an operator's change.
enum class change_state {
    accepted,
    conflict, // another operator's change came first
    not_accepted, // surely not taken
    unknown, // the store did not say, and could not be asked
};

constexpr name_table<change_state, 4> names(change_state)
{
    return { { { change_state::accepted, "accepted" },
               { change_state::conflict, "conflict" },
               { change_state::not_accepted, "not_accepted" },
               { change_state::unknown, "unknown" } } };
}

// The outcome of a change; `revision` is the accepted one, or the one that came first.
struct change_result
{
    change_state state = change_state::unknown;
    std::int64_t revision = 0;
    std::string detail;
};

// Writes operators' changes to the store, each against the revision it was made from.
class configuration_writer
{
public:
    // `store` must outlive the writer. `author` is shown to other operators.
    configuration_writer(key_value_store &store, configuration_keys keys, std::string author);

    // Writes `puts` if the configuration is still at revision `basis` (0: there is none yet).
    asio::awaitable<change_result> write(std::int64_t basis, std::vector<store_put> puts);

private:
    key_value_store &m_store;
    configuration_keys m_keys;
    std::string m_author;
};

} // namespace gooseberrymoor
