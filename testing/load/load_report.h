#pragma once

#include "answer_check.h"

#include "gooseberrymoor/base/latency_histogram.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

// What came of all requests.
class load_report
{
public:
    // A request was answered after `latency`.
    void addAnswer(const checked_answer &answer, gooseberrymoor::duration latency);

    // A request was given up with this refusal.
    void addRefusal(gooseberrymoor::error_kind kind, gooseberrymoor::verdict outcome);

    // A request was given up because its connection failed.
    void addFailure(gooseberrymoor::verdict outcome);

    // A request was sent to another entry.
    void addResend() { ++m_resends; }

    // An answer was wrong.
    void addInvalidAnswer(const std::string &what);

    // Whether no answer was wrong.
    bool allAnswersValid() const { return m_invalidAnswers == 0; }

    // All of it after `elapsed`, for people or as JSON.
    std::string text(gooseberrymoor::duration elapsed) const;
    std::string json(gooseberrymoor::duration elapsed) const;

private:
    std::uint64_t requests() const;

    gooseberrymoor::latency_histogram m_latency;
    gooseberrymoor::duration m_longest {};
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_refusals; // kind, verdict
    std::map<std::string, std::uint64_t> m_failures; // by verdict
    std::vector<std::string> m_examples; // of wrong answers
    std::uint64_t m_answers = 0;
    std::uint64_t m_fullyCovered = 0;
    std::uint64_t m_shards = 0;
    std::uint64_t m_covered = 0;
    std::uint64_t m_leafRequests = 0;
    std::uint64_t m_extra = 0;
    std::uint64_t m_resends = 0;
    std::uint64_t m_invalidAnswers = 0;
};
