#pragma once

#include "gooseberrymoor/base/request_error.h"

#include <cstddef>
#include <string>

struct load_settings;

namespace gooseberrymoor {
struct http_reply;
}

// What one reply says, and what is wrong with it. Value type.
struct checked_answer
{
    bool answered = false; // else it is a refusal
    std::string wrong; // empty if nothing is
    std::size_t shards = 0;
    std::size_t covered = 0;
    int leafRequests = 0;
    int extra = 0;
    gooseberrymoor::error_kind kind = gooseberrymoor::error_kind::none; // of a refusal
    gooseberrymoor::verdict outcome = gooseberrymoor::verdict::completed;
};

// Checks the reply to a request whose body was `body`.
checked_answer checkReply(const load_settings &settings, const std::string &body,
                          const gooseberrymoor::http_reply &reply);
