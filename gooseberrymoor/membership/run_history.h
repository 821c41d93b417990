#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrymoor {

// What ran at targets in a test, and the check that no two processes ran at one at a time.
class run_history
{
public:
    struct run
    {
        std::string target;
        int process = 0; // another start of a node is another process
        duration start {}; // in the time of the test, not of a node's clock
        duration mayRunUntil {};
    };

    void add(run each) { m_runs.push_back(std::move(each)); }

    // Two runs of different processes at one target at one time, if there are any.
    std::optional<std::pair<run, run>> overlap() const
    {
        std::vector<run> sorted = m_runs;
        std::ranges::stable_sort(sorted, {}, &run::start);
        std::map<std::string, std::map<int, run>> latest; // that ends last, by process
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

    // The first start at `target` at or after `from`, by a process other than `except`.
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

    // The last start at `target` before `until`, and who made it.
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
