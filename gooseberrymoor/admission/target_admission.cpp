#include "gooseberrymoor/admission/target_admission.h"

#include "gooseberrymoor/base/transit.h"

#include "gooseberrymoor/admission/target_status.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr int queue_per_slot = 8; // waiting requests for each slot before new ones are refused
constexpr duration longest_silence { 30'000 }; // without an answer, before it counts as cold
constexpr duration load_gap { 1000 }; // between answers; longer gaps are no time under load
constexpr int rounds_per_raise = 2; // answers for each request of the allowance before it rises
constexpr int sheds_of_cold = 2; // in a row
constexpr int timeouts_of_cold = 3; // in a row
constexpr int reports_to_return = 3; // that a target drains no more, in a row
constexpr duration first_pause { 20 }; // after a shed answer; doubled with each in a row
constexpr int most_doublings = 6;
constexpr double least_reduction = 0.75; // of the allowance that a shed answer leaves
constexpr double most_reduction = 0.5;
constexpr double least_jitter = 0.5;
constexpr double most_jitter = 1.5;
constexpr duration word_life { 5000 }; // of a reply's word against a health report's

} // namespace

target_admission::target_admission(target_limits limits, time_point now, std::uint32_t seed)
    : m_limits(limits), m_random(seed + 1), m_level(std::max(1, limits.coldSlots)),
      m_lastAnswer(now), m_pausedUntil(now)
{
}

offer_result target_admission::offer(ticket request, time_point deadline, time_point now)
{
    releaseLingering(now);
    if (m_phase == admission_phase::draining)
        return offer_result::draining;
    if (deadline <= now)
        return offer_result::late;
    if (waiting() >= queueCapacity())
        return offer_result::queue_full;
    if (isTooLate(m_queue.size(), deadline, now))
        return offer_result::wait_too_long;
    m_queue.push_back({ request, deadline });
    return offer_result::queued;
}

std::optional<target_admission::ticket> target_admission::startNext(time_point now)
{
    releaseLingering(now);
    if (isSilent(now))
        turnCold(admission_reason::silence, now);
    while (!m_queue.empty() && m_queue.front().deadline <= now) {
        m_late.push_back(m_queue.front());
        m_queue.pop_front();
    }
    if (m_queue.empty() || now < m_pausedUntil || occupiedSlots() >= allowance(now))
        return std::nullopt;
    const waiting_request next = m_queue.front();
    m_queue.pop_front();
    const bool atFull = occupiedSlots() + 1 >= allowance(now);
    m_running.push_back({ next.request, next.deadline, now, m_epoch, atFull });
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

void target_admission::finish(ticket request, leaf_result result, time_point now)
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
        beginDrain();
        return;
    case leaf_result::lost:
        linger(ended);
        turnCold(admission_reason::connection_lost, now);
        return;
    case leaf_result::timed_out:
        linger(ended);
        onTimeout(now);
        return;
    }
}

void target_admission::confirmStopped(ticket request)
{
    std::erase_if(m_lingering,
                  [request](const lingering_request &each) { return each.request == request; });
}

bool target_admission::withdraw(ticket request)
{
    const auto found = std::ranges::find(m_queue, request, &waiting_request::request);
    if (found == m_queue.end())
        return false;
    m_queue.erase(found);
    return true;
}

std::vector<target_admission::ticket> target_admission::expire(time_point now)
{
    releaseLingering(now);
    std::vector<ticket> expired;
    for (const waiting_request &late : m_late)
        expired.push_back(late.request);
    m_late.clear();
    for (const waiting_request &waiting : m_queue) {
        if (waiting.deadline <= now)
            expired.push_back(waiting.request);
    }
    std::erase_if(m_queue, [now](const waiting_request &each) { return each.deadline <= now; });
    return expired;
}

std::vector<target_admission::ticket> target_admission::removeUnservable(time_point now)
{
    std::vector<ticket> refused;
    std::deque<waiting_request> kept;
    for (const waiting_request &waiting : m_queue) {
        if (isTooLate(kept.size(), waiting.deadline, now))
            refused.push_back(waiting.request);
        else
            kept.push_back(waiting);
    }
    m_queue = std::move(kept);
    return refused;
}

std::vector<target_admission::ticket> target_admission::clearQueue()
{
    std::vector<ticket> cleared;
    for (const waiting_request &late : m_late)
        cleared.push_back(late.request);
    for (const waiting_request &waiting : m_queue)
        cleared.push_back(waiting.request);
    m_late.clear();
    m_queue.clear();
    return cleared;
}

std::vector<target_admission::ticket> target_admission::setLimits(target_limits limits, time_point)
{
    m_limits = limits;
    m_level = std::max(1, std::min(m_level, m_limits.slots));
    if (m_phase == admission_phase::cold)
        m_level = std::max(1, std::min(m_level, m_limits.coldSlots));
    if (m_phase == admission_phase::warm && m_level < m_limits.slots) {
        enter(admission_phase::warming, admission_reason::limits_changed);
        ++m_epoch;
        m_evidence = 0;
    }
    std::vector<ticket> dropped;
    while (waiting() > queueCapacity() && !m_queue.empty()) {
        dropped.push_back(m_queue.back().request);
        m_queue.pop_back();
    }
    return dropped;
}

void target_admission::observeReply(const target_status &status, time_point now)
{
    const bool isAnother = !status.instance.empty() && status.instance != m_instance;
    if (isAnother && m_phase == admission_phase::draining)
        observeReturnToService(now);
    observeInstance(status.instance, now);
    if (status.cold == false)
        m_saidWarmAt = now;
    if (status.cold == true)
        turnCold(admission_reason::self_reported, now);
    if (status.draining)
        beginDrain();
}

void target_admission::observeHealth(const target_status &status, time_point now)
{
    const bool isLagging = status.instance == m_previousInstance && !m_previousInstance.empty();
    const bool isAnother = !status.instance.empty() && status.instance != m_instance && !isLagging;
    if (isAnother)
        observeInstance(status.instance, now);
    if (status.draining) {
        beginDrain();
        return;
    }
    const bool contradicted = m_saidWarmAt && now - *m_saidWarmAt < word_life;
    if (status.cold == true && !contradicted)
        turnCold(admission_reason::self_reported, now);
    if (m_phase == admission_phase::draining && ++m_reportsNotDraining >= reports_to_return)
        observeReturnToService(now);
}

void target_admission::observeInstance(const std::string &instance, time_point now)
{
    if (instance.empty() || instance == m_instance)
        return;
    const bool isFirst = m_instance.empty();
    m_previousInstance = std::exchange(m_instance, instance);
    if (isFirst)
        return;
    m_saidWarmAt.reset();
    turnCold(admission_reason::new_instance, now);
}

void target_admission::observeUnreachable(time_point now)
{
    turnCold(admission_reason::unreachable, now);
}

void target_admission::observeReturnToService(time_point now)
{
    enter(admission_phase::cold, admission_reason::returned);
    turnCold(admission_reason::returned, now);
}

int target_admission::allowance(time_point now) const
{
    if (m_phase == admission_phase::draining)
        return 0;
    return isSilent(now) ? std::min(m_level, std::max(1, m_limits.coldSlots)) : m_level;
}

int target_admission::queueCapacity() const
{
    return m_limits.slots * queue_per_slot;
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

void target_admission::turnCold(admission_reason reason, time_point now)
{
    ++m_epoch;
    m_level = std::min(m_level, std::max(1, m_limits.coldSlots));
    m_evidence = 0;
    m_loaded = duration(0);
    m_lastInTime.reset();
    m_timeoutsInRow = 0;
    if (reason == admission_reason::silence)
        m_lastAnswer = now;
    if (m_phase != admission_phase::draining)
        enter(admission_phase::cold, reason);
}

void target_admission::beginDrain()
{
    m_reportsNotDraining = 0;
    enter(admission_phase::draining, admission_reason::self_reported);
}

void target_admission::enter(admission_phase phase, admission_reason reason)
{
    m_phase = phase;
    m_reason = reason;
}

void target_admission::releaseLingering(time_point now)
{
    std::erase_if(m_lingering, [now](const lingering_request &each) { return each.until <= now; });
}

void target_admission::linger(const running_request &ended)
{
    m_lingering.push_back({ ended.request, ended.deadline + max_transit_time });
}

void target_admission::onAnswer(const running_request &ended, time_point now)
{
    const duration taken = now - ended.startedAt;
    m_lastAnswer = now;
    m_timeoutsInRow = 0;
    m_shedsInRow = 0;
    const bool isSlow = m_service.isSlow(taken);
    m_service.record(taken);
    if (m_service.hasSlowed()) {
        m_service.forgetRecent();
        turnCold(admission_reason::slow_answers, now);
        return;
    }
    // An answer to what was started before the last change says nothing of the present level.
    if (isSlow || now > ended.deadline || ended.epoch != m_epoch)
        return;
    m_loaded += std::min(now - m_lastInTime.value_or(ended.startedAt), load_gap);
    m_lastInTime = now;
    if (ended.atFull)
        ++m_evidence;
    if (mayRaise())
        raise();
}

void target_admission::onShed(const running_request &ended, time_point now)
{
    m_lastAnswer = now;
    m_timeoutsInRow = 0;
    ++m_shedsInRow;
    const bool isTrusted
        = m_phase == admission_phase::warm || m_phase == admission_phase::backing_off;
    const bool isFresh = ended.epoch == m_epoch;
    if (isFresh) {
        const int doublings = std::min(m_shedsInRow - 1, most_doublings);
        m_pausedUntil = std::max(m_pausedUntil, now + jittered(first_pause * (1 << doublings)));
        m_level = reducedLevel();
    }
    if (!isTrusted || m_shedsInRow >= sheds_of_cold) {
        turnCold(admission_reason::shed_answers, now);
        return;
    }
    ++m_epoch;
    m_evidence = 0;
    enter(admission_phase::backing_off, admission_reason::shed_answers);
}

void target_admission::onTimeout(time_point now)
{
    if (++m_timeoutsInRow >= timeouts_of_cold)
        turnCold(admission_reason::silence, now);
}

bool target_admission::mayRaise() const
{
    const bool isHeld = m_phase == admission_phase::cold && m_loaded < m_limits.warmup;
    const bool canGrow = m_phase == admission_phase::cold || m_phase == admission_phase::warming
        || m_phase == admission_phase::backing_off;
    return canGrow && !isHeld && m_evidence >= m_level * rounds_per_raise;
}

void target_admission::raise()
{
    m_level = std::min(m_limits.slots, m_level + std::max(1, m_level / 2));
    ++m_epoch;
    m_evidence = 0;
    const bool isWhole = m_level == m_limits.slots;
    enter(isWhole ? admission_phase::warm : admission_phase::warming,
          admission_reason::answers_in_time);
}

bool target_admission::isSilent(time_point now) const
{
    return now - m_lastAnswer >= longest_silence;
}

duration target_admission::waitAt(std::size_t position, time_point now) const
{
    const auto most = static_cast<std::int64_t>(std::max(1, allowance(now)));
    duration wait = std::max(duration(0), m_pausedUntil - now);
    if (lingering() >= most) {
        const auto first = std::ranges::min_element(m_lingering, {}, &lingering_request::until);
        wait = std::max(wait, first->until - now);
    }
    const auto ahead = static_cast<std::int64_t>(position) + occupiedSlots();
    if (ahead < most)
        return wait;
    const std::int64_t rounds = (ahead - most) / most + 1;
    return wait + rounds * m_service.recent().value_or(duration(0));
}

bool target_admission::isTooLate(std::size_t position, time_point deadline, time_point now) const
{
    const duration wait = waitAt(position, now);
    const duration answer = m_service.recent().value_or(duration(0));
    return wait > duration(0) && now + wait + answer > deadline;
}

int target_admission::reducedLevel()
{
    std::uniform_real_distribution<double> factor(most_reduction, least_reduction);
    return std::max(1, static_cast<int>(m_level * factor(m_random)));
}

duration target_admission::jittered(duration base)
{
    std::uniform_real_distribution<double> factor(least_jitter, most_jitter);
    return duration(
        static_cast<std::int64_t>(static_cast<double>(base.count()) * factor(m_random)));
}

} // namespace gooseberrymoor
