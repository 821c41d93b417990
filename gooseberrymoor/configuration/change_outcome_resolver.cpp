#include "gooseberrymoor/configuration/change_outcome_resolver.h"

namespace gooseberrymoor {

const std::string &change_outcome_resolver::abandonedMarker()
{
    static const std::string text = "abandoned";
    return text;
}

change_outcome_resolver::change_outcome_resolver(std::string record, time_point deadline)
    : m_record(std::move(record)), m_deadline(deadline)
{
    m_result.detail = "the store did not reply before the deadline";
}

resolution_step change_outcome_resolver::next(time_point now)
{
    if (now >= m_deadline)
        m_step = resolution_step::done;
    return m_step;
}

void change_outcome_resolver::onAbandon(
    const tl::expected<transaction_result, store_error> &outcome)
{
    if (!outcome) {
        m_result.detail = outcome.error().detail;
        m_step = resolution_step::read_operation;
        return;
    }
    if (outcome->succeeded) {
        finish(change_state::not_accepted, 0,
               "the change was not applied and cannot be applied later");
        return;
    }
    m_step = resolution_step::read_operation;
}

void change_outcome_resolver::onOperation(const tl::expected<store_read, store_error> &outcome)
{
    if (!outcome) {
        m_result.detail = outcome.error().detail;
        return;
    }
    if (outcome->entries.empty()) {
        m_step = resolution_step::abandon;
        return;
    }
    const store_entry &present = outcome->entries.front();
    if (present.value == m_record)
        finish(change_state::accepted, present.modRevision, "");
    else
        finish(change_state::not_accepted, 0,
               "the change was not applied and cannot be applied later");
}

void change_outcome_resolver::finish(change_state state, std::int64_t revision, std::string detail)
{
    m_result = { state, revision, std::move(detail) };
    m_step = resolution_step::done;
}

} // namespace gooseberrymoor
