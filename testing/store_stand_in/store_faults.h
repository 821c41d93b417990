#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/name_table.h"

#include <tl/expected.hpp>

#include <random>
#include <string>

// How the stand-in is out of service.
enum class outage_kind {
    none,
    refused, // connections are closed at once
    silent, // calls are taken in and never answered
};

constexpr gooseberrymoor::name_table<outage_kind, 3> names(outage_kind)
{
    return { { { outage_kind::none, "none" },
               { outage_kind::refused, "refused" },
               { outage_kind::silent, "silent" } } };
}

// The faults that the stand-in shows now. Value type.
struct store_faults
{
    outage_kind outage = outage_kind::none;
    gooseberrymoor::duration latency {}; // added before each call takes effect
    gooseberrymoor::duration slowness {}; // added before each answer
    int loseNext = 0; // answers to transactions that are lost after their effect
    int losePermille = 0; // share of answers to all writes that are lost
    int errorPermille = 0; // share of calls that are refused with status 503

    // Applies a body of POST /control: a JSON object with any of `outage`, `latency_ms`,
    // `slow_ms`, `lose_next`, `lose_permille`, `error_permille`. The error names what is wrong;
    // nothing is changed then.
    tl::expected<void, std::string> apply(const std::string &body);

    // Whether the answer to the present write is lost.
    bool losesAnswer(bool isTransaction, std::minstd_rand &random);

    // Whether the present call is refused with an error.
    bool refuses(std::minstd_rand &random) const;
};
