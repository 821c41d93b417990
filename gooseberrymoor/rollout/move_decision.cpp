#include "gooseberrymoor/rollout/move_decision.h"

#include "gooseberrymoor/configuration/configuration.h"
#include "gooseberrymoor/rollout/rollout_ramp.h"

#include <algorithm>
#include <tuple>

namespace gooseberrymoor {

namespace {

constexpr int all_permille = 1000;

version_config *versionIn(service_config &service, const std::string &name)
{
    const auto found = std::ranges::find(service.versions, name, &version_config::name);
    return found == service.versions.end() ? nullptr : &*found;
}

// Decides one move of versions.
class version_move_decider
{
public:
    version_move_decider(const move_record &record, const configuration &current,
                         const version_comparison &evidence, const move_timing &timing,
                         wall_time now)
        : m_record(record), m_evidence(evidence), m_timing(timing), m_now(now)
    {
        const service_config *service = current.findService(record.plan.service);
        if (service)
            m_service = *service;
    }

    std::optional<move_step> decide()
    {
        if (!m_service || !older() || !newer())
            return withdrawn(rollback_reason::configuration, "the service or a version is gone");
        if (newer()->blocked)
            return rolledBack({ rollback_reason::blocked, "", "the new version is blocked" });
        if (m_record.state == move_state::planned)
            return begun();
        if (m_evidence.bad)
            return rolledBack(m_evidence.cause);
        if (newer()->sharePermille > m_record.sharePermille)
            return takeStep(m_record.step);
        if (canAdvance())
            return takeStep(m_record.step + 1);
        return late();
    }

private:
    version_config *older() { return versionIn(*m_service, m_record.plan.from); }
    version_config *newer() { return versionIn(*m_service, m_record.plan.to); }

    // Ends the move without a change of the configuration.
    move_step withdrawn(rollback_reason reason, const std::string &detail) const
    {
        move_step step { m_record, std::nullopt, std::nullopt };
        step.next.state = move_state::rolled_back;
        step.next.cause = { reason, "", detail };
        return step;
    }

    // The old version still has traffic at every share but the last, so its targets are warm and
    // take everything back at once.
    move_step rolledBack(const rollback_cause &cause)
    {
        newer()->blocked = true;
        newer()->sharePermille = 0;
        if (m_record.state != move_state::planned)
            older()->sharePermille = m_record.totalPermille;
        move_step step { m_record, m_service, std::nullopt };
        step.next.state = move_state::rolled_back;
        step.next.sharePermille = 0;
        step.next.cause = cause;
        return step;
    }

    std::optional<move_step> begun()
    {
        if (m_now < m_record.plan.begin)
            return std::nullopt;
        const int total = older()->sharePermille + newer()->sharePermille;
        m_total = total > 0 ? std::min(total, all_permille) : all_permille;
        return takeStep(1);
    }

    move_step takeStep(int stepNumber)
    {
        const int total = m_total > 0 ? m_total : m_record.totalPermille;
        move_step step { m_record, std::nullopt, std::nullopt };
        step.next.totalPermille = total;
        step.next.step = stepNumber;
        step.next.sharePermille = shareAfterStep(stepNumber, total);
        step.next.stepBegan = m_now;
        if (m_record.state == move_state::planned)
            step.next.began = m_now;
        newer()->sharePermille = step.next.sharePermille;
        older()->sharePermille = total - step.next.sharePermille;
        step.service = m_service;
        if (stepNumber >= rollout_step_count)
            step.next.state = move_state::done;
        else
            step.next.state = isLate(stepNumber) ? move_state::late : move_state::moving;
        return step;
    }

    bool canAdvance() const
    {
        if (m_evidence.doubtful)
            return false;
        const auto taken = m_now - m_record.stepBegan;
        const bool enough
            = taken >= m_timing.minStepDuration && m_evidence.requests >= m_timing.requestsPerStep;
        const bool patient = taken >= m_timing.lowTrafficStepDuration
            && m_evidence.requests >= m_timing.lowTrafficRequestsPerStep;
        if (!enough && !patient)
            return false;
        const auto left = m_record.plan.finishBy - m_record.stepBegan;
        return taken
            >= stepDuration(left, rollout_step_count - m_record.step, m_timing.maxStepDuration);
    }

    // Whether the finish time has passed, or has no room for the steps that are left.
    bool isLate(int stepNumber) const
    {
        if (m_record.state == move_state::late || m_now >= m_record.plan.finishBy)
            return true;
        const auto since = stepNumber == m_record.step ? m_record.stepBegan : m_now;
        const auto needed = m_timing.minStepDuration * (rollout_step_count - stepNumber);
        return since + needed > m_record.plan.finishBy;
    }

    std::optional<move_step> late() const
    {
        if (m_record.state == move_state::late || !isLate(m_record.step))
            return std::nullopt;
        move_step step { m_record, std::nullopt, std::nullopt };
        step.next.state = move_state::late;
        return step;
    }

    const move_record &m_record;
    const version_comparison &m_evidence;
    const move_timing &m_timing;
    wall_time m_now;
    std::optional<service_config> m_service;
    int m_total = 0;
};

// Decides one move of an availability zone.
class zone_move_decider
{
public:
    zone_move_decider(const move_record &record, const configuration &current,
                      const move_timing &timing, wall_time now)
        : m_record(record), m_current(current), m_timing(timing), m_now(now)
    {
    }

    std::optional<move_step> decide() const
    {
        if (m_record.state == move_state::planned)
            return m_now < m_record.plan.begin ? std::nullopt : std::optional(begun());
        if (isOut() != leaves())
            return next(move_state::rolled_back);
        if (m_now >= m_record.stepBegan + completionDelay())
            return next(move_state::done);
        if (m_now >= m_record.plan.finishBy && m_record.state != move_state::late)
            return next(move_state::late);
        return std::nullopt;
    }

private:
    bool leaves() const { return m_record.plan.kind == move_kind::zone_out; }
    bool isOut() const { return m_current.zonesOut.contains(m_record.plan.zone()); }

    // From the write until nothing runs in a zone that leaves, or until the targets of one that
    // returns are warm.
    std::chrono::milliseconds completionDelay() const
    {
        if (leaves())
            return m_timing.inForce + m_timing.longestRequest;
        std::chrono::milliseconds warmup {};
        for (const auto &[name, service] : m_current.services)
            warmup = std::max(warmup, service.limits.warmup);
        return m_timing.inForce + warmup;
    }

    move_step begun() const
    {
        move_step step { m_record, std::nullopt, m_current.zonesOut };
        if (leaves())
            step.zonesOut->insert(m_record.plan.zone());
        else
            step.zonesOut->erase(m_record.plan.zone());
        const bool fits = m_now + completionDelay() <= m_record.plan.finishBy;
        step.next.state = fits ? move_state::moving : move_state::late;
        step.next.step = 1;
        step.next.began = m_now;
        step.next.stepBegan = m_now;
        return step;
    }

    move_step next(move_state state) const
    {
        move_step step { m_record, std::nullopt, std::nullopt };
        step.next.state = state;
        if (state == move_state::rolled_back)
            step.next.cause = { rollback_reason::operator_change, "",
                                "an operator changed the availability zone" };
        return step;
    }

    const move_record &m_record;
    const configuration &m_current;
    const move_timing &m_timing;
    wall_time m_now;
};

} // namespace

comparison_request comparisonFor(const move_record &record, const configuration &current,
                                 const move_timing &timing)
{
    const service_config *service = current.findService(record.plan.service);
    const duration warmup = service ? service->limits.warmup : duration(0);
    comparison_request request;
    request.service = record.plan.service;
    request.oldVersion = record.plan.from;
    request.newVersion = record.plan.to;
    request.countFrom = record.stepBegan;
    request.latencyFrom = record.began + timing.inForce + warmup;
    request.plannedDuration = record.plan.finishBy - record.plan.begin;
    request.falseAlarmProbability = timing.falseAlarmProbability;
    return request;
}

bool mustWait(const move_record &record, const std::vector<move_record> &all)
{
    if (record.state != move_state::planned)
        return false;
    return std::ranges::any_of(all, [&record](const move_record &other) {
        const planned_move &plan = other.plan;
        if (isFinal(other.state) || !affectSameResource(plan, record.plan))
            return false;
        const bool earlier
            = std::tie(plan.begin, plan.id) < std::tie(record.plan.begin, record.plan.id);
        return other.state != move_state::planned || earlier;
    });
}

std::optional<move_step> decideMove(const move_record &record, const configuration &current,
                                    const version_comparison &evidence, const move_timing &timing,
                                    wall_time now)
{
    if (isFinal(record.state))
        return std::nullopt;
    if (record.plan.kind == move_kind::version)
        return version_move_decider(record, current, evidence, timing, now).decide();
    return zone_move_decider(record, current, timing, now).decide();
}

} // namespace gooseberrymoor
