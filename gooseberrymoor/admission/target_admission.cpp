#include "gooseberrymoor/admission/target_admission.h"

#include "gooseberrymoor/base/transit.h"

#include "gooseberrymoor/admission/target_status.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr int max_queued_per_slot = 8;
constexpr duration silence_timeout { 30'000 }; // a target without answers for this long is cold
constexpr duration max_load_gap { 1000 }; // longest gap between answers that counts as load
constexpr int rounds_per_increase = 2; // each round is one answer per unit of the allowance
constexpr int sheds_until_cold = 2; // consecutive
constexpr int timeouts_until_cold = 3; // consecutive
constexpr int reports_until_return = 3; // consecutive health reports of a target not draining
constexpr duration initial_backoff { 20 }; // doubled for each further consecutive shed request
constexpr int max_backoff_doublings = 6;
constexpr double max_decrease_factor = 0.75; // allowance after a shed request, relative to before
constexpr double min_decrease_factor = 0.5;
constexpr double min_jitter_factor = 0.5;
constexpr double max_jitter_factor = 1.5;
// How long a reply that says the target is not cold overrides health reports to the contrary.
constexpr duration reply_status_lifetime { 5000 };

} // namespace

target_admission::target_admission(target_limits limits, time_point now, std::uint32_t seed)
    : m_limits(limits), m_random(seed + 1), m_allowance(std::max(1, limits.coldSlots)),
      m_lastAnswer(now), m_pausedUntil(now)
{
}

offer_result target_admission::offer(request_id request, time_point deadline, time_point now)
{
    releaseLingering(now);
    if (m_phase == admission_phase::draining)
        return offer_result::draining;
    if (deadline <= now)
        return offer_result::late;
    if (waiting() >= queueCapacity())
        return offer_result::queue_full;
    if (wouldMissDeadline(m_queue.size(), deadline, now))
        return offer_result::wait_too_long;
    m_queue.push_back({ request, deadline });
    return offer_result::queued;
}

std::optional<target_admission::request_id> target_admission::startNext(time_point now)
{
    releaseLingering(now);
    if (isSilent(now))
        resetToCold(admission_reason::silence, now);
    while (!m_queue.empty() && m_queue.front().deadline <= now) {
        m_expired.push_back(m_queue.front());
        m_queue.pop_front();
    }
    if (m_queue.empty() || now < m_pausedUntil || occupiedSlots() >= allowance(now))
        return std::nullopt;
    const waiting_request next = m_queue.front();
    m_queue.pop_front();
    const bool atFullAllowance = occupiedSlots() + 1 >= allowance(now);
    m_running.push_back(
        { next.request, next.deadline, now, m_allowanceGeneration, atFullAllowance });
    return next.request;
}

int target_admission::startableCount(time_point now) const
{
    if (now < m_pausedUntil)
        return 0;
    return std::clamp(allowance(now) - occupiedSlotsAt(now), 0, static_cast<int>(m_queue.size()));
}

int target_admission::occupiedSlotsAt(time_point now) const
{
    const auto lingering = std::ranges::count_if(
        m_lingering, [now](const lingering_request &each) { return each.until > now; });
    return running() + static_cast<int>(lingering);
}

void target_admission::finish(request_id request, leaf_result result, time_point now)
{
    const auto found = std::ranges::find(m_running, request, &running_request::request);
    if (found == m_running.end())
        return;
    const running_request ended = *found;
    *found = m_running.back();
    m_running.pop_back();
    switch (result) {
    case leaf_result::answered:
        onAnswer(ended, now);
        return;
    case leaf_result::failed:
    case leaf_result::cancelled:
        m_lastAnswer = now;
        return;
    case leaf_result::unsent:
        return;
    case leaf_result::shed:
        onShed(ended, now);
        return;
    case leaf_result::drained:
        startDraining();
        return;
    case leaf_result::lost:
        addLingering(ended);
        resetToCold(admission_reason::connection_lost, now);
        return;
    case leaf_result::timed_out:
        addLingering(ended);
        onTimeout(now);
        return;
    }
}

void target_admission::confirmStopped(request_id request)
{
    std::erase_if(m_lingering,
                  [request](const lingering_request &each) { return each.request == request; });
}

bool target_admission::withdraw(request_id request)
{
    const auto found = std::ranges::find(m_queue, request, &waiting_request::request);
    if (found == m_queue.end())
        return false;
    m_queue.erase(found);
    return true;
}

std::vector<target_admission::request_id> target_admission::removeExpired(time_point now)
{
    releaseLingering(now);
    std::vector<request_id> expired;
    for (const waiting_request &each : m_expired)
        expired.push_back(each.request);
    m_expired.clear();
    for (const waiting_request &waiting : m_queue) {
        if (waiting.deadline <= now)
            expired.push_back(waiting.request);
    }
    std::erase_if(m_queue, [now](const waiting_request &each) { return each.deadline <= now; });
    return expired;
}

std::vector<target_admission::request_id> target_admission::removeUnservable(time_point now)
{
    std::vector<request_id> refused;
    std::deque<waiting_request> kept;
    for (const waiting_request &waiting : m_queue) {
        if (wouldMissDeadline(kept.size(), waiting.deadline, now))
            refused.push_back(waiting.request);
        else
            kept.push_back(waiting);
    }
    m_queue = std::move(kept);
    return refused;
}

std::vector<target_admission::request_id> target_admission::clearQueue()
{
    std::vector<request_id> cleared;
    for (const waiting_request &each : m_expired)
        cleared.push_back(each.request);
    for (const waiting_request &waiting : m_queue)
        cleared.push_back(waiting.request);
    m_expired.clear();
    m_queue.clear();
    return cleared;
}

std::vector<target_admission::request_id> target_admission::setLimits(target_limits limits,
                                                                      time_point)
{
    m_limits = limits;
    m_allowance = std::max(1, std::min(m_allowance, m_limits.slots));
    if (m_phase == admission_phase::cold)
        m_allowance = std::max(1, std::min(m_allowance, m_limits.coldSlots));
    if (m_phase == admission_phase::warm && m_allowance < m_limits.slots) {
        setPhase(admission_phase::warming, admission_reason::limits_changed);
        ++m_allowanceGeneration;
        m_answersAtAllowance = 0;
    }
    std::vector<request_id> dropped;
    while (waiting() > queueCapacity() && !m_queue.empty()) {
        dropped.push_back(m_queue.back().request);
        m_queue.pop_back();
    }
    return dropped;
}

void target_admission::observeReply(const target_status &status, time_point now)
{
    const bool isNewInstance = !status.instance.empty() && status.instance != m_instance;
    if (isNewInstance && m_phase == admission_phase::draining)
        returnToService(now);
    observeInstance(status.instance, now);
    if (status.cold == false)
        m_reportedWarmAt = now;
    if (status.cold == true)
        resetToCold(admission_reason::self_reported, now);
    if (status.draining)
        startDraining();
}

void target_admission::observeHealth(const target_status &status, time_point now)
{
    const bool isStaleReport = status.instance == m_previousInstance && !m_previousInstance.empty();
    const bool isNewInstance
        = !status.instance.empty() && status.instance != m_instance && !isStaleReport;
    if (isNewInstance)
        observeInstance(status.instance, now);
    if (status.draining) {
        startDraining();
        return;
    }
    const bool isContradicted = m_reportedWarmAt && now - *m_reportedWarmAt < reply_status_lifetime;
    if (status.cold == true && !isContradicted)
        resetToCold(admission_reason::self_reported, now);
    if (m_phase == admission_phase::draining && ++m_notDrainingReports >= reports_until_return)
        returnToService(now);
}

void target_admission::observeInstance(const std::string &instance, time_point now)
{
    if (instance.empty() || instance == m_instance)
        return;
    const bool isFirst = m_instance.empty();
    m_previousInstance = std::exchange(m_instance, instance);
    if (isFirst)
        return;
    m_reportedWarmAt.reset();
    resetToCold(admission_reason::new_instance, now);
}

void target_admission::observeUnreachable(time_point now)
{
    resetToCold(admission_reason::unreachable, now);
}

void target_admission::returnToService(time_point now)
{
    setPhase(admission_phase::cold, admission_reason::returned);
    resetToCold(admission_reason::returned, now);
}

int target_admission::allowance(time_point now) const
{
    if (m_phase == admission_phase::draining)
        return 0;
    return isSilent(now) ? std::min(m_allowance, std::max(1, m_limits.coldSlots)) : m_allowance;
}

int target_admission::queueCapacity() const
{
    return m_limits.slots * max_queued_per_slot;
}

time_point target_admission::nextTimedChange(time_point now) const
{
    time_point next = time_point::max();
    for (const lingering_request &each : m_lingering)
        next = std::min(next, each.until);
    for (const waiting_request &each : m_queue)
        next = std::min(next, each.deadline);
    const bool isPaused = m_pausedUntil > now && !m_queue.empty();
    return isPaused ? std::min(next, m_pausedUntil) : next;
}

void target_admission::resetToCold(admission_reason reason, time_point now)
{
    ++m_allowanceGeneration;
    m_allowance = std::min(m_allowance, std::max(1, m_limits.coldSlots));
    m_answersAtAllowance = 0;
    m_timeUnderLoad = duration(0);
    m_lastAnswerInTime.reset();
    m_consecutiveTimeouts = 0;
    if (reason == admission_reason::silence)
        m_lastAnswer = now;
    if (m_phase != admission_phase::draining)
        setPhase(admission_phase::cold, reason);
}

void target_admission::startDraining()
{
    m_notDrainingReports = 0;
    setPhase(admission_phase::draining, admission_reason::self_reported);
}

void target_admission::setPhase(admission_phase phase, admission_reason reason)
{
    m_phase = phase;
    m_reason = reason;
}

void target_admission::releaseLingering(time_point now)
{
    std::erase_if(m_lingering, [now](const lingering_request &each) { return each.until <= now; });
}

void target_admission::addLingering(const running_request &ended)
{
    m_lingering.push_back({ ended.request, ended.deadline + max_transit_time });
}

void target_admission::onAnswer(const running_request &ended, time_point now)
{
    const duration taken = now - ended.startedAt;
    m_lastAnswer = now;
    m_consecutiveTimeouts = 0;
    m_consecutiveSheds = 0;
    const bool isSlow = m_serviceTime.isSlow(taken);
    m_serviceTime.record(taken);
    if (m_serviceTime.hasSlowed()) {
        m_serviceTime.clearWindow();
        resetToCold(admission_reason::slow_answers, now);
        return;
    }
    // A request started in an earlier generation says nothing about the current allowance.
    if (isSlow || now > ended.deadline || ended.allowanceGeneration != m_allowanceGeneration)
        return;
    m_timeUnderLoad += std::min(now - m_lastAnswerInTime.value_or(ended.startedAt), max_load_gap);
    m_lastAnswerInTime = now;
    if (ended.atFullAllowance)
        ++m_answersAtAllowance;
    if (canRaiseAllowance())
        raiseAllowance();
}

void target_admission::onShed(const running_request &ended, time_point now)
{
    m_lastAnswer = now;
    m_consecutiveTimeouts = 0;
    ++m_consecutiveSheds;
    const bool canBackOff
        = m_phase == admission_phase::warm || m_phase == admission_phase::backing_off;
    const bool isCurrent = ended.allowanceGeneration == m_allowanceGeneration;
    if (isCurrent) {
        const int doublings = std::min(m_consecutiveSheds - 1, max_backoff_doublings);
        m_pausedUntil = std::max(m_pausedUntil, now + jittered(initial_backoff * (1 << doublings)));
        m_allowance = reducedAllowance();
    }
    if (!canBackOff || m_consecutiveSheds >= sheds_until_cold) {
        resetToCold(admission_reason::shed_answers, now);
        return;
    }
    ++m_allowanceGeneration;
    m_answersAtAllowance = 0;
    setPhase(admission_phase::backing_off, admission_reason::shed_answers);
}

void target_admission::onTimeout(time_point now)
{
    if (++m_consecutiveTimeouts >= timeouts_until_cold)
        resetToCold(admission_reason::silence, now);
}

bool target_admission::canRaiseAllowance() const
{
    const bool isWarmingUp = m_phase == admission_phase::cold && m_timeUnderLoad < m_limits.warmup;
    const bool canGrow = m_phase == admission_phase::cold || m_phase == admission_phase::warming
        || m_phase == admission_phase::backing_off;
    return canGrow && !isWarmingUp && m_answersAtAllowance >= m_allowance * rounds_per_increase;
}

void target_admission::raiseAllowance()
{
    m_allowance = std::min(m_limits.slots, m_allowance + std::max(1, m_allowance / 2));
    ++m_allowanceGeneration;
    m_answersAtAllowance = 0;
    const bool isFull = m_allowance == m_limits.slots;
    setPhase(isFull ? admission_phase::warm : admission_phase::warming,
             admission_reason::answers_in_time);
}

bool target_admission::isSilent(time_point now) const
{
    return now - m_lastAnswer >= silence_timeout;
}

duration target_admission::estimateWait(std::size_t position, time_point now) const
{
    const auto currentAllowance = static_cast<std::int64_t>(std::max(1, allowance(now)));
    duration wait = std::max(duration(0), m_pausedUntil - now);
    if (lingering() >= currentAllowance) {
        const auto first = std::ranges::min_element(m_lingering, {}, &lingering_request::until);
        wait = std::max(wait, first->until - now);
    }
    const auto requestsAhead = static_cast<std::int64_t>(position) + occupiedSlots();
    if (requestsAhead < currentAllowance)
        return wait;
    const std::int64_t batches = (requestsAhead - currentAllowance) / currentAllowance + 1;
    return wait + batches * m_serviceTime.recent().value_or(duration(0));
}

bool target_admission::wouldMissDeadline(std::size_t position, time_point deadline,
                                         time_point now) const
{
    const duration wait = estimateWait(position, now);
    const duration serviceTime = m_serviceTime.recent().value_or(duration(0));
    return wait > duration(0) && now + wait + serviceTime > deadline;
}

int target_admission::reducedAllowance()
{
    std::uniform_real_distribution<double> factor(min_decrease_factor, max_decrease_factor);
    return std::max(1, static_cast<int>(m_allowance * factor(m_random)));
}

duration target_admission::jittered(duration base)
{
    std::uniform_real_distribution<double> factor(min_jitter_factor, max_jitter_factor);
    return duration(
        static_cast<std::int64_t>(static_cast<double>(base.count()) * factor(m_random)));
}

} // namespace gooseberrymoor
