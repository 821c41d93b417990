#pragma once

#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/configuration/change_result.h"
#include "gooseberrymoor/configuration/configuration_keys.h"
#include "gooseberrymoor/store/store_error.h"
#include "gooseberrymoor/store/store_transaction.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrymoor {

class key_value_store;
struct configuration_change;

// Writes operators' changes to the store, each on condition that the configuration is still at the
// revision the change is based on.
//
// A change is one transaction that also writes its own operation key, so that its outcome can be
// determined if the reply is lost (see `change_outcome_resolver`). Operation keys expire with a
// lease.
class configuration_writer
{
public:
    // `store` must outlive the writer. `author` is shown to other operators.
    configuration_writer(key_value_store &store, configuration_keys keys, std::string author);

    // Writes `change` if the configuration is still at revision `baseRevision` (0: there is none
    // yet). Completes within about 20 s plus at most one store call.
    asio::awaitable<change_result> write(std::int64_t baseRevision, configuration_change change);

    // Writes `puts` in the same way, with an empty summary.
    asio::awaitable<change_result> write(std::int64_t baseRevision, std::vector<store_put> puts);

private:
    asio::awaitable<change_result> resolveOutcome(std::string operationKey, std::string record,
                                                  std::int64_t lease);
    asio::awaitable<change_result> reportConflict(std::int64_t baseRevision);

    key_value_store &m_store;
    configuration_keys m_keys;
    std::string m_author;
};

} // namespace gooseberrymoor
