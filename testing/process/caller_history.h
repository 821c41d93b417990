#pragma once

#include "caller_record.h"

#include <map>
#include <string>
#include <vector>

class site;

// Everything that callers saw in one run, and the checks that read it.
class caller_history
{
public:
    explicit caller_history(std::vector<caller_record> records);

    const std::vector<caller_record> &records() const { return m_records; }

    // Requests with an answer.
    int answered() const;
    // Requests that were refused or had no answer.
    int failed() const;
    // Queries whose answer did not cover all shards.
    int partial() const;

    // Each check returns what is wrong, a line each.

    // An answer is whole: every part belongs to its own request and to one snapshot, and the
    // coverage counts the parts that are there and those that are named as missing.
    std::vector<std::string> checkAnswers() const;

    // No request that is not idempotent ran twice; one that was said to have not run did not, and
    // one that was said to be completed did. `runs` are the targets' counts by body.
    std::vector<std::string> checkExecutionCounts(const std::map<std::string, int> &runs) const;

private:
    std::vector<caller_record> m_records;
};

// How often each request that is not idempotent ran, summed over the targets of `where`.
std::map<std::string, int> executionsByBody(const site &where);

// Which targets of `where` were given more than `slots` requests at one time, queued ones counted.
std::vector<std::string> checkSlots(const site &where, int slots);

// Which targets of `where` were given more than they bear while they were cold.
std::vector<std::string> checkColdStarts(const site &where);
