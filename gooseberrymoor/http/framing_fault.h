#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// Why the length of a message can't be told for sure.
enum class framing_fault {
    none,
    bad_length, // not a decimal number of at most 64 bits
    conflicting_lengths, // several, which differ
    length_and_coding, // Content-Length and Transfer-Encoding
    coding_in_http_1_0, // which has no transfer codings
    bad_coding, // an empty or malformed Transfer-Encoding, or a parameter of `chunked`
    chunked_not_last, // or not at all, or more than once
    unknown_coding, // applied before `chunked`, so that the end is sure, but not the content
};

constexpr name_table<framing_fault, 8> names(framing_fault)
{
    return { { { framing_fault::none, "none" },
               { framing_fault::bad_length, "bad_length" },
               { framing_fault::conflicting_lengths, "conflicting_lengths" },
               { framing_fault::length_and_coding, "length_and_coding" },
               { framing_fault::coding_in_http_1_0, "coding_in_http_1_0" },
               { framing_fault::bad_coding, "bad_coding" },
               { framing_fault::chunked_not_last, "chunked_not_last" },
               { framing_fault::unknown_coding, "unknown_coding" } } };
}

} // namespace gooseberrymoor
