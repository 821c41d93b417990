#pragma once

#include "answer_check.h"

#include "gooseberrymoor/base/latency_histogram.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

// Collects the outcomes of all requests.
class load_report
{
public:
    // Records an answered request and its latency.
    void addAnswer(const checked_answer &answer, gooseberrymoor::duration latency);

    // Records a request whose last attempt was refused.
    void addRefusal(gooseberrymoor::error_kind kind, gooseberrymoor::verdict outcome);

    // Records a request whose last attempt ended with a connection failure.
    void addFailure(gooseberrymoor::verdict outcome);

    // Records a retry at another entry.
    void addResend() { ++m_resends; }

    // Records an invalid answer. The first few descriptions appear in the report.
    void addInvalidAnswer(const std::string &violation);

    bool allAnswersValid() const { return m_invalidAnswers == 0; }

    // Formats the report for a run that took `elapsed`, as text or as JSON.
    std::string text(gooseberrymoor::duration elapsed) const;
    std::string json(gooseberrymoor::duration elapsed) const;

private:
    std::uint64_t requests() const;

    gooseberrymoor::latency_histogram m_latency;
    gooseberrymoor::duration m_maxLatency {};
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_refusals; // kind, verdict
    std::map<std::string, std::uint64_t> m_failures; // keyed by verdict
    std::vector<std::string> m_examples; // of invalid answers
    std::uint64_t m_answers = 0;
    std::uint64_t m_fullyCovered = 0;
    std::uint64_t m_shards = 0;
    std::uint64_t m_covered = 0;
    std::uint64_t m_leafRequests = 0;
    std::uint64_t m_extra = 0;
    std::uint64_t m_resends = 0;
    std::uint64_t m_invalidAnswers = 0;
};
