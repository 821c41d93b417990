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

// What a settlement does next.
enum class resolution_step {
    abandon, // put "abandoned" at the operation key if the key is absent
    read_operation, // read the operation key
    done,
};

constexpr name_table<resolution_step, 3> names(resolution_step)
{
    return { { { resolution_step::abandon, "abandon" },
               { resolution_step::read_operation, "read_operation" },
               { resolution_step::done, "done" } } };
}

// Finds out whether a change took effect whose answer was lost.
//
// The change puts its own record at its operation key on condition that the key is absent. So
// whoever puts the key first decides: once "abandoned" stands there the change can never take
// effect, however late it arrives; if the record stands there it was accepted at that revision.
class change_outcome_resolver
{
public:
    // What is put at the operation key of a change that is given up.
    static const std::string &abandonedMarker();

    // `record` is the text that the change puts. After `deadline` the outcome stays unknown.
    change_outcome_resolver(std::string record, time_point deadline);

    // The step to take at `now`.
    resolution_step next(time_point now);

    // The outcome of the step `abandon`.
    void onAbandon(const tl::expected<transaction_result, store_error> &outcome);

    // The outcome of the step `read_operation`.
    void onOperation(const tl::expected<store_read, store_error> &outcome);

    // The outcome, once the step is `done`.
    const change_result &result() const { return m_result; }

private:
    void finish(change_state state, std::int64_t revision, std::string detail);

    std::string m_record;
    time_point m_deadline;
    resolution_step m_step = resolution_step::abandon;
    change_result m_result;
};

} // namespace gooseberrymoor
