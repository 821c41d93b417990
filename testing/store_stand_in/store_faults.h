#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/name_table.h"

#include <tl/expected.hpp>

#include <random>
#include <string>

// The kind of outage that the stand-in simulates.
enum class outage_kind {
    none,
    refused, // connections are closed immediately
    silent, // calls are accepted and never answered
};

constexpr gooseberrymoor::name_table<outage_kind, 3> names(outage_kind)
{
    return { { { outage_kind::none, "none" },
               { outage_kind::refused, "refused" },
               { outage_kind::silent, "silent" } } };
}

// The faults that the stand-in currently injects. Value type.
struct store_faults
{
    outage_kind outage = outage_kind::none;
    gooseberrymoor::duration latency {}; // delay before each call takes effect
    gooseberrymoor::duration answerDelay {}; // delay after a call takes effect, before its answer
    int loseNext = 0; // number of transactions to come whose answer is lost after they take effect
    int losePermille = 0; // share of writes whose answer is lost after they take effect
    int errorPermille = 0; // share of calls that fail with status 503

    // Applies the body of POST /control, a JSON object with any of `outage`, `latency_ms`,
    // `slow_ms`, `lose_next`, `lose_permille`, `error_permille`. If a value is invalid, returns
    // the reason and changes nothing.
    tl::expected<void, std::string> apply(const std::string &body);

    // Decides whether the answer to the current write is lost.
    bool shouldLoseAnswer(bool isTransaction, std::minstd_rand &random);

    // Decides whether the current call fails with an error.
    bool shouldRefuse(std::minstd_rand &random) const;
};
