#pragma once

#include "caller_record.h"

#include <map>
#include <string>
#include <vector>

class site;

// All requests that callers made in one test, with checks of their outcomes.
class caller_history
{
public:
    explicit caller_history(std::vector<caller_record> records);

    const std::vector<caller_record> &records() const { return m_records; }

    // The number of requests that were answered with status 200.
    int answered() const;
    // The number of all other requests: refused, failed or without an answer.
    int failed() const;
    // The number of queries (the idempotent requests) whose answer did not cover all shards.
    int partial() const;

    // Each check returns one description per violation.

    // Checks that every result of an answer belongs to its request and to the one snapshot that
    // the answer names, and that the coverage agrees with the results and the uncovered shards.
    std::vector<std::string> checkAnswers() const;

    // Checks that no non-idempotent request ran twice, that those with the verdict not_run did not
    // run and that those with the verdict completed did. `runs` are the targets' counts by body.
    std::vector<std::string> checkExecutionCounts(const std::map<std::string, int> &runs) const;

private:
    std::vector<caller_record> m_records;
};

// How often each non-idempotent request ran, by its body, summed over the targets of `testSite`.
std::map<std::string, int> executionsByBody(const site &testSite);

// Describes the targets of `testSite` that had more than `slots` requests at once, including queued
// ones.
std::vector<std::string> checkSlots(const site &testSite, int slots);

// Describes the targets of `testSite` that received more than their cold limit while cold.
std::vector<std::string> checkColdStarts(const site &testSite);
