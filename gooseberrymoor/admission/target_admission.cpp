#include "gooseberrymoor/admission/target_admission.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr int queue_per_slot = 8; // waiting requests for each slot before new ones are refused

} // namespace

target_admission::target_admission(target_limits limits, time_point now)
    : m_limits(limits), m_coldSince(now)
{
}

bool target_admission::offer(ticket request, time_point deadline, time_point now)
{
    const auto mostWaiting = static_cast<std::size_t>(m_limits.slots * queue_per_slot);
    if (deadline <= now || m_queue.size() >= mostWaiting)
        return false;
    m_queue.push_back({ request, deadline });
    return true;
}

std::optional<target_admission::ticket> target_admission::startNext(time_point now)
{
    if (m_queue.empty() || running() >= allowance(now))
        return std::nullopt;
    const waiting_request next = m_queue.front();
    m_queue.pop_front();
    m_running[next.request] = next.deadline;
    return next.request;
}

void target_admission::finish(ticket request, leaf_result result, time_point now)
{
    m_running.erase(request);
    if (result == leaf_result::shed || result == leaf_result::lost)
        turnCold(now);
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
    std::vector<ticket> expired;
    for (const waiting_request &waiting : m_queue) {
        if (waiting.deadline <= now)
            expired.push_back(waiting.request);
    }
    std::erase_if(m_queue, [now](const waiting_request &each) { return each.deadline <= now; });
    return expired;
}

void target_admission::observeInstance(const std::string &instance, time_point now)
{
    if (!m_instance.empty() && m_instance != instance)
        turnCold(now);
    m_instance = instance;
}

int target_admission::allowance(time_point now) const
{
    const duration age = now - m_coldSince;
    if (age >= m_limits.warmup)
        return m_limits.slots;
    const auto growth = static_cast<int>((m_limits.slots - m_limits.coldSlots) * age.count()
                                         / m_limits.warmup.count());
    return m_limits.coldSlots + growth;
}

void target_admission::turnCold(time_point now)
{
    m_coldSince = now;
}

} // namespace gooseberrymoor
