#pragma once

#include "gooseberrymoor/admission/admission_phase.h"
#include "gooseberrymoor/admission/admission_reason.h"
#include "gooseberrymoor/admission/leaf_result.h"
#include "gooseberrymoor/admission/offer_result.h"
#include "gooseberrymoor/admission/service_time_tracker.h"
#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/configuration/target_limits.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace gooseberrymoor {

struct target_status;

// Decides what one target may be given: how many leaf requests may run there at one time, and
// which wait. A request counts from its start until nothing of it can run: until its answer, or,
// if none came, until the target confirmed that it stopped or its deadline there has passed.
// The allowance rises only with answers in time. Each sign of a cold start brings it down to the
// cold slots, where it stays until the target has answered in time under load for the warm-up.
// Plain state; the caller passes the time in, which never goes back. Not thread-safe.
class target_admission
{
public:
    using ticket = std::uint64_t;

    // A target that is new to its owner counts as cold. `seed` is for the jitter of pauses.
    target_admission(target_limits limits, time_point now, std::uint32_t seed = 0);

    // Puts a request in the queue, unless it could not be answered by `deadline`.
    offer_result offer(ticket request, time_point deadline, time_point now);

    // The next request to send now, if one more may run. Its slot is taken from here on.
    std::optional<ticket> startNext(time_point now);

    // How many `startNext` calls would return a request now.
    int startableCount(time_point now) const;

    // A started request has ended, or no answer of it will come (`lost`, `timed_out`).
    void finish(ticket request, leaf_result result, time_point now);

    // The target confirmed that a request runs no more: it need not be waited for.
    void confirmStopped(ticket request);

    // Takes a waiting request out of the queue; false if it does not wait.
    bool withdraw(ticket request);

    // Takes out the waiting requests whose deadline has passed.
    std::vector<ticket> expire(time_point now);

    // Takes out the waiting requests that cannot be answered in time at the present allowance.
    std::vector<ticket> removeUnservable(time_point now);

    // Takes out all waiting requests.
    std::vector<ticket> clearQueue();

    // Puts other limits in force; returns the requests taken out of a queue that is now too long.
    std::vector<ticket> setLimits(target_limits limits, time_point now);

    // A reply of the target says `status`.
    void observeReply(const target_status &status, time_point now);

    // A health report says `status`. It may lag or mislead, so it never raises the allowance;
    // repeated reports only let a target that drained start again, cold.
    void observeHealth(const target_status &status, time_point now);

    // The target showed `instance`; another one than before starts cold.
    void observeInstance(const std::string &instance, time_point now);

    // No connection could be made.
    void observeUnreachable(time_point now);

    // The target is in service again after others may have used it or it was out.
    void observeReturnToService(time_point now);

    // How many requests may run at one time now.
    int allowance(time_point now) const;

    // Requests whose answer is awaited.
    int running() const { return static_cast<int>(m_running.size()); }
    // Requests whose answer will not come and that may still run.
    int lingering() const { return static_cast<int>(m_lingering.size()); }
    // All that may run, as of the last event.
    int occupiedSlots() const { return running() + lingering(); }
    // All that may run at `now`.
    int occupiedSlotsAt(time_point now) const;
    // Requests in the queue.
    int waiting() const { return static_cast<int>(m_queue.size() + m_late.size()); }
    // The most requests that may wait.
    int queueCapacity() const;

    admission_phase phase() const { return m_phase; }
    // What brought `phase` about.
    admission_reason reason() const { return m_reason; }
    // Until when nothing starts after shed answers.
    time_point pausedUntil() const { return m_pausedUntil; }
    // The target's usual time for an answer; nothing while it is unknown.
    std::optional<duration> recentServiceTime() const { return m_service.recent(); }
    const target_limits &limits() const { return m_limits; }
    const std::string &instance() const { return m_instance; }

    // When state changes by time alone next: a deadline in the queue, an end of a pause or of a
    // lingering request. `time_point::max()` if never.
    time_point nextTimedChange(time_point now) const;

private:
    struct waiting_request
    {
        ticket request;
        time_point deadline;
    };
    struct running_request
    {
        ticket request;
        time_point deadline;
        time_point startedAt;
        std::uint32_t epoch;
        bool atFull; // the whole allowance was in use
    };
    struct lingering_request
    {
        ticket request;
        time_point until;
    };

    void turnCold(admission_reason reason, time_point now);
    void beginDrain();
    void enter(admission_phase phase, admission_reason reason);
    void releaseLingering(time_point now);
    void linger(const running_request &ended);
    void onAnswer(const running_request &ended, time_point now);
    void onShed(const running_request &ended, time_point now);
    void onTimeout(time_point now);
    bool mayRaise() const;
    void raise();
    bool isSilent(time_point now) const;
    duration waitAt(std::size_t position, time_point now) const;
    bool isTooLate(std::size_t position, time_point deadline, time_point now) const;
    int reducedLevel();
    duration jittered(duration base);

    target_limits m_limits;
    std::deque<waiting_request> m_queue;
    std::vector<waiting_request> m_late; // met by `startNext`, until `expire` returns them
    std::vector<running_request> m_running;
    std::vector<lingering_request> m_lingering;
    service_time_tracker m_service;
    std::minstd_rand m_random;
    std::string m_instance;
    std::string m_previousInstance;
    admission_phase m_phase = admission_phase::cold;
    admission_reason m_reason = admission_reason::new_target;
    int m_level; // the allowance but for draining and silence
    std::uint32_t m_epoch = 0; // rises with each change of level
    int m_evidence = 0; // answers in time at the present level
    duration m_loaded {}; // time under load since it turned cold
    std::optional<time_point> m_lastInTime; // since it turned cold
    time_point m_lastAnswer;
    time_point m_pausedUntil;
    std::optional<time_point> m_saidWarmAt; // in a reply
    int m_shedsInRow = 0;
    int m_timeoutsInRow = 0;
    int m_reportsNotDraining = 0;
};

} // namespace gooseberrymoor
