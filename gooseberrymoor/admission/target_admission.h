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

// Admission control for one target: limits how many leaf requests run there concurrently and
// queues the rest. A request occupies a slot from its start until it can no longer run: until it
// is answered or, without an answer, until the target confirms that it stopped or its deadline at
// the target has passed.
//
// The concurrency limit (the allowance) rises only after answers in time. Any sign of a cold start
// reduces it to the cold slots, where it stays until the target has answered in time under load
// for the warm-up period.
//
// Performs no I/O and reads no clock: the caller passes the time, which must not decrease.
// Not thread-safe.
class target_admission
{
public:
    using request_id = std::uint64_t; // chosen by the caller

    // The target starts cold. `seed` initializes the random jitter of backoff.
    target_admission(target_limits limits, time_point now, std::uint32_t seed = 0);

    // Queues a request, unless it could not be answered by `deadline`.
    offer_result offer(request_id request, time_point deadline, time_point now);

    // Removes the next request to send from the queue and occupies a slot for it. Empty if the
    // queue is empty, no slot is free or admission is paused.
    std::optional<request_id> startNext(time_point now);

    // Upper bound for the number of requests that `startNext` would return now: queued requests
    // that have expired are counted too.
    int startableCount(time_point now) const;

    // Records the result of a started request. After `lost` and `timed_out` the request may still
    // run and keeps its slot.
    void finish(request_id request, leaf_result result, time_point now);

    // Frees the slot of a lingering request that the target has confirmed to be stopped.
    void confirmStopped(request_id request);

    // Removes a request from the queue; false if it is not queued.
    bool withdraw(request_id request);

    // Removes and returns the queued requests whose deadline has passed.
    std::vector<request_id> removeExpired(time_point now);

    // Removes and returns the queued requests that cannot be answered by their deadline at the
    // current allowance.
    std::vector<request_id> removeUnservable(time_point now);

    // Removes and returns all queued requests.
    std::vector<request_id> clearQueue();

    // Applies new limits; returns the requests removed because the queue exceeds its new capacity.
    std::vector<request_id> setLimits(target_limits limits, time_point now);

    // Applies the status that the target sent with a reply.
    void observeReply(const target_status &status, time_point now);

    // Applies the status from a health report. Health reports may be stale or wrong, so they never
    // raise the allowance. Several consecutive reports return a draining target to service, cold.
    void observeHealth(const target_status &status, time_point now);

    // Records the instance ID that the target reported. A changed ID means that the target
    // restarted, so it becomes cold.
    void observeInstance(const std::string &instance, time_point now);

    // Records that no connection to the target could be opened.
    void observeUnreachable(time_point now);

    // Returns the target to service as a cold one. To be called when a drain has ended, or when
    // this owner takes the target over again and another owner may have sent requests to it
    // meanwhile.
    void returnToService(time_point now);

    // Maximum number of concurrent requests now.
    int allowance(time_point now) const;

    // Number of started requests whose answer is pending.
    int running() const { return static_cast<int>(m_running.size()); }
    // Number of requests that will not be answered but may still run.
    int lingering() const { return static_cast<int>(m_lingering.size()); }
    // Number of running and lingering requests as of the last event.
    int occupiedSlots() const { return running() + lingering(); }
    // Number of running and lingering requests at `now`.
    int occupiedSlotsAt(time_point now) const;
    // Number of queued requests, including expired ones that were not yet removed.
    int waiting() const { return static_cast<int>(m_queue.size() + m_expired.size()); }
    // Maximum number of queued requests.
    int queueCapacity() const;

    admission_phase phase() const { return m_phase; }
    // The event that led to the current phase.
    admission_reason reason() const { return m_reason; }
    // End of the backoff after shed requests; nothing starts before it.
    time_point pausedUntil() const { return m_pausedUntil; }
    // The target's recent median service time; empty while it is unknown.
    std::optional<duration> recentServiceTime() const { return m_serviceTime.recent(); }
    const target_limits &limits() const { return m_limits; }
    const std::string &instance() const { return m_instance; }

    // The next time at which the state changes without an event: the deadline of a queued request,
    // the end of a backoff or of a lingering request. `time_point::max()` if there is none.
    time_point nextTimedChange(time_point now) const;

private:
    struct waiting_request
    {
        request_id request;
        time_point deadline;
    };
    struct running_request
    {
        request_id request;
        time_point deadline;
        time_point startedAt;
        std::uint32_t allowanceGeneration; // `m_allowanceGeneration` at the start
        bool atFullAllowance; // it used the last free slot
    };
    struct lingering_request
    {
        request_id request;
        time_point until;
    };

    void resetToCold(admission_reason reason, time_point now);
    void startDraining();
    void setPhase(admission_phase phase, admission_reason reason);
    void releaseLingering(time_point now);
    void addLingering(const running_request &ended);
    void onAnswer(const running_request &ended, time_point now);
    void onShed(const running_request &ended, time_point now);
    void onTimeout(time_point now);
    bool canRaiseAllowance() const;
    void raiseAllowance();
    bool isSilent(time_point now) const;
    duration estimateWait(std::size_t position, time_point now) const;
    bool wouldMissDeadline(std::size_t position, time_point deadline, time_point now) const;
    int reducedAllowance();
    duration jittered(duration base);

    target_limits m_limits;
    std::deque<waiting_request> m_queue;
    std::vector<waiting_request> m_expired; // dequeued by `startNext`, not yet returned
    std::vector<running_request> m_running;
    std::vector<lingering_request> m_lingering;
    service_time_tracker m_serviceTime;
    std::minstd_rand m_random;
    std::string m_instance;
    std::string m_previousInstance;
    admission_phase m_phase = admission_phase::cold;
    admission_reason m_reason = admission_reason::new_target;
    // The current allowance. `allowance` returns less while the target drains or is silent.
    int m_allowance;
    // Incremented when evidence for the allowance is to be collected anew: when it is raised, after
    // a shed request, after a reset to cold, and when higher limits end the warm phase. Requests
    // started in an earlier generation are no evidence for the current allowance.
    std::uint32_t m_allowanceGeneration = 0;
    // Number of requests of the current generation that were answered in time and occupied the last
    // free slot when they started.
    int m_answersAtAllowance = 0;
    duration m_timeUnderLoad {}; // since the last reset to cold
    std::optional<time_point> m_lastAnswerInTime; // since the last reset to cold
    time_point m_lastAnswer;
    time_point m_pausedUntil;
    std::optional<time_point> m_reportedWarmAt; // when a reply last said that it is not cold
    int m_consecutiveSheds = 0;
    int m_consecutiveTimeouts = 0;
    int m_notDrainingReports = 0; // consecutive health reports while draining
};

} // namespace gooseberrymoor
