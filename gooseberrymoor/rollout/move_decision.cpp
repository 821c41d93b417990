#include "gooseberrymoor/rollout/move_decision.h"

#include "gooseberrymoor/configuration/configuration.h"
#include "gooseberrymoor/rollout/rollout_ramp.h"

#include <algorithm>
#include <tuple>

namespace gooseberrymoor {

namespace {

constexpr int full_share_permille = 1000;

version_config *findVersionIn(service_config &service, const std::string &name)
{
    const auto found = std::ranges::find(service.versions, name, &version_config::name);
    return found == service.versions.end() ? nullptr : &*found;
}

// Decides the next step of a version move.
class version_move_decider
{
public:
    version_move_decider(const move_record &record, const configuration &current,
                         const version_comparison &comparison, const move_timing &timing,
                         wall_time now)
        : m_record(record), m_comparison(comparison), m_timing(timing), m_now(now)
    {
        const service_config *service = current.findService(record.plan.service);
        if (service)
            m_service = *service;
    }

    std::optional<move_step> decide()
    {
        if (!m_service || !fromVersion() || !toVersion())
            return endWithoutChange(rollback_reason::configuration,
                                    "the service or a version is gone");
        if (toVersion()->blocked)
            return rollBack({ rollback_reason::blocked, "", "the new version is blocked" });
        if (m_record.state == move_state::planned)
            return startIfDue();
        if (m_comparison.bad)
            return rollBack(m_comparison.cause);
        // An operator raised the share above the plan: restores it and restarts the step.
        if (toVersion()->sharePermille > m_record.sharePermille)
            return takeStep(m_record.step);
        if (canAdvance())
            return takeStep(m_record.step + 1);
        return markIfLate();
    }

private:
    version_config *fromVersion() { return findVersionIn(*m_service, m_record.plan.from); }
    version_config *toVersion() { return findVersionIn(*m_service, m_record.plan.to); }

    // Ends the move as rolled back without changing the configuration.
    move_step endWithoutChange(rollback_reason reason, const std::string &detail) const
    {
        move_step step { m_record, std::nullopt, std::nullopt };
        step.next.state = move_state::rolled_back;
        step.next.cause = { reason, "", detail };
        return step;
    }

    // Returns all traffic to the old version in one step. Its targets are still warm, because it
    // keeps some traffic until the last step of the ramp.
    move_step rollBack(const rollback_cause &cause)
    {
        toVersion()->blocked = true;
        toVersion()->sharePermille = 0;
        if (m_record.state != move_state::planned)
            fromVersion()->sharePermille = m_record.totalPermille;
        move_step step { m_record, m_service, std::nullopt };
        step.next.state = move_state::rolled_back;
        step.next.sharePermille = 0;
        step.next.cause = cause;
        return step;
    }

    // Takes the first step once the begin time is reached.
    std::optional<move_step> startIfDue()
    {
        if (m_now < m_record.plan.begin)
            return std::nullopt;
        const int total = fromVersion()->sharePermille + toVersion()->sharePermille;
        m_initialTotalPermille
            = total > 0 ? std::min(total, full_share_permille) : full_share_permille;
        return takeStep(1);
    }

    // Sets the shares of both versions to those of step `stepNumber` of the ramp.
    move_step takeStep(int stepNumber)
    {
        const int total
            = m_initialTotalPermille > 0 ? m_initialTotalPermille : m_record.totalPermille;
        move_step step { m_record, std::nullopt, std::nullopt };
        step.next.totalPermille = total;
        step.next.step = stepNumber;
        step.next.sharePermille = shareAfterStep(stepNumber, total);
        step.next.stepBegan = m_now;
        if (m_record.state == move_state::planned)
            step.next.began = m_now;
        toVersion()->sharePermille = step.next.sharePermille;
        fromVersion()->sharePermille = total - step.next.sharePermille;
        step.service = m_service;
        if (stepNumber >= rollout_step_count)
            step.next.state = move_state::done;
        else
            step.next.state = isLate(stepNumber) ? move_state::late : move_state::moving;
        return step;
    }

    bool canAdvance() const
    {
        if (m_comparison.doubtful)
            return false;
        const auto elapsed = m_now - m_record.stepBegan;
        const bool meetsMinimum = elapsed >= m_timing.minStepDuration
            && m_comparison.requests >= m_timing.minRequestsPerStep;
        const bool meetsLowTrafficMinimum = elapsed >= m_timing.lowTrafficStepDuration
            && m_comparison.requests >= m_timing.lowTrafficRequestsPerStep;
        if (!meetsMinimum && !meetsLowTrafficMinimum)
            return false;
        const auto left = m_record.plan.finishBy - m_record.stepBegan;
        return elapsed
            >= stepDuration(left, rollout_step_count - m_record.step, m_timing.maxStepDuration);
    }

    // Whether the finish time has passed, or is too close for the remaining steps.
    bool isLate(int stepNumber) const
    {
        if (m_record.state == move_state::late || m_now >= m_record.plan.finishBy)
            return true;
        const auto stepStart = stepNumber == m_record.step ? m_record.stepBegan : m_now;
        const auto minRemaining = m_timing.minStepDuration * (rollout_step_count - stepNumber);
        return stepStart + minRemaining > m_record.plan.finishBy;
    }

    // Marks the move as late if it has become so.
    std::optional<move_step> markIfLate() const
    {
        if (m_record.state == move_state::late || !isLate(m_record.step))
            return std::nullopt;
        move_step step { m_record, std::nullopt, std::nullopt };
        step.next.state = move_state::late;
        return step;
    }

    const move_record &m_record;
    const version_comparison &m_comparison;
    const move_timing &m_timing;
    wall_time m_now;
    std::optional<service_config> m_service;
    // Total share at the first step, set by `startIfDue` for `takeStep`; 0 in later steps, which
    // use the total of the record.
    int m_initialTotalPermille = 0;
};

// Decides the next step of an availability zone move.
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
            return m_now < m_record.plan.begin ? std::nullopt : std::optional(start());
        if (isZoneOut() != takesZoneOut())
            return changeState(move_state::rolled_back);
        if (m_now >= m_record.stepBegan + completionDelay())
            return changeState(move_state::done);
        if (m_now >= m_record.plan.finishBy && m_record.state != move_state::late)
            return changeState(move_state::late);
        return std::nullopt;
    }

private:
    bool takesZoneOut() const { return m_record.plan.kind == move_kind::zone_out; }
    bool isZoneOut() const { return m_current.zonesOut.contains(m_record.plan.zone()); }

    // Time from the write until no request can still run in a leaving zone, or until the targets of
    // a returning zone are warm.
    std::chrono::milliseconds completionDelay() const
    {
        if (takesZoneOut())
            return m_timing.configurationDelay + m_timing.longestRequest;
        std::chrono::milliseconds warmup {};
        for (const auto &[name, service] : m_current.services)
            warmup = std::max(warmup, service.limits.warmup);
        return m_timing.configurationDelay + warmup;
    }

    move_step start() const
    {
        move_step step { m_record, std::nullopt, m_current.zonesOut };
        if (takesZoneOut())
            step.zonesOut->insert(m_record.plan.zone());
        else
            step.zonesOut->erase(m_record.plan.zone());
        const bool isInTime = m_now + completionDelay() <= m_record.plan.finishBy;
        step.next.state = isInTime ? move_state::moving : move_state::late;
        step.next.step = 1;
        step.next.began = m_now;
        step.next.stepBegan = m_now;
        return step;
    }

    move_step changeState(move_state state) const
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
    request.latencyFrom = record.began + timing.configurationDelay + warmup;
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
                                    const version_comparison &comparison, const move_timing &timing,
                                    wall_time now)
{
    if (isFinal(record.state))
        return std::nullopt;
    if (record.plan.kind == move_kind::version)
        return version_move_decider(record, current, comparison, timing, now).decide();
    return zone_move_decider(record, current, timing, now).decide();
}

} // namespace gooseberrymoor
