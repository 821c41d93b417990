#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrymoor {

// Records which requests ran at which targets in a test, and checks that no two processes had
// requests at the same target at the same time.
class run_history
{
public:
    struct run
    {
        std::string target;
        int process = 0; // a restarted node is a new process
        duration start {}; // in the test's virtual time, not by a node's clock
        duration mayRunUntil {};
    };

    void add(run each) { m_runs.push_back(std::move(each)); }

    // Returns two overlapping runs of different processes at the same target, if there are any.
    std::optional<std::pair<run, run>> overlap() const
    {
        std::vector<run> sorted = m_runs;
        std::ranges::stable_sort(sorted, {}, &run::start);
        // The run that ends last, by target and process.
        std::map<std::string, std::map<int, run>> latest;
        for (const run &each : sorted) {
            auto &byProcess = latest[each.target];
            for (const auto &[process, other] : byProcess) {
                if (process != each.process && other.mayRunUntil > each.start)
                    return std::pair(other, each);
            }
            run &kept = byProcess[each.process];
            if (kept.mayRunUntil < each.mayRunUntil)
                kept = each;
        }
        return std::nullopt;
    }

    // Returns the first start at `target` at or after `from`, by a process other than `except`.
    std::optional<duration> firstStart(const std::string &target, duration from, int except) const
    {
        std::optional<duration> first;
        for (const run &each : m_runs) {
            const bool counts
                = each.target == target && each.start >= from && each.process != except;
            if (counts && (!first || each.start < *first))
                first = each.start;
        }
        return first;
    }

    // Returns the last run at `target` that started before `until`.
    std::optional<run> lastStart(const std::string &target, duration until) const
    {
        std::optional<run> last;
        for (const run &each : m_runs) {
            if (each.target == target && each.start < until && (!last || each.start >= last->start))
                last = each;
        }
        return last;
    }

    const std::vector<run> &runs() const { return m_runs; }

private:
    std::vector<run> m_runs;
};

} // namespace gooseberrymoor
