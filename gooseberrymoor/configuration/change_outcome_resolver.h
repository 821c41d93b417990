#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/name_table.h"
#include "gooseberrymoor/configuration/change_result.h"
#include "gooseberrymoor/store/store_entry.h"
#include "gooseberrymoor/store/store_error.h"
#include "gooseberrymoor/store/store_transaction.h"

#include <tl/expected.hpp>

#include <string>

namespace gooseberrymoor {

// Next step in determining the outcome of a change.
enum class resolution_step {
    abandon, // write the abandoned marker to the operation key if the key is absent
    read_operation, // read the operation key
    done,
};

constexpr name_table<resolution_step, 3> names(resolution_step)
{
    return { { { resolution_step::abandon, "abandon" },
               { resolution_step::read_operation, "read_operation" },
               { resolution_step::done, "done" } } };
}

// Determines whether a change whose reply was lost has been applied.
//
// The change writes its own record to its operation key on condition that the key is absent, so the
// first write of the key decides. If that is the abandoned marker, the change can never be applied,
// however late it arrives; if it is the record, the change was accepted at the key's revision.
class change_outcome_resolver
{
public:
    // The value written to the operation key of an abandoned change.
    static const std::string &abandonedMarker();

    // `record` is the value that the change writes to its operation key. An outcome not determined
    // by `deadline` remains unknown.
    change_outcome_resolver(std::string record, time_point deadline);

    // Returns the step to take at `now`.
    resolution_step next(time_point now);

    // Processes the outcome of the step `abandon`.
    void onAbandon(const tl::expected<transaction_result, store_error> &outcome);

    // Processes the outcome of the step `read_operation`.
    void onOperation(const tl::expected<store_read, store_error> &outcome);

    // The outcome of the change; final once `next` returns `done`.
    const change_result &result() const { return m_result; }

private:
    void finish(change_state state, std::int64_t revision, std::string detail);

    std::string m_record;
    time_point m_deadline;
    resolution_step m_step = resolution_step::abandon;
    change_result m_result;
};

} // namespace gooseberrymoor
