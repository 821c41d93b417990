#pragma once

#include "gooseberrymoor/base/request_error.h"

#include <cstddef>
#include <string>

struct load_settings;

namespace gooseberrymoor {
struct http_reply;
}

// The contents of one reply and its first violation. Value type.
struct checked_answer
{
    bool answered = false; // false for a refusal
    std::string violation; // empty if the reply is valid
    std::size_t shards = 0;
    std::size_t covered = 0;
    int leafRequests = 0;
    int extra = 0;
    gooseberrymoor::error_kind kind = gooseberrymoor::error_kind::none; // set for a refusal
    gooseberrymoor::verdict outcome = gooseberrymoor::verdict::completed;
};

// Validates the reply to a request with the body `body`.
checked_answer checkReply(const load_settings &settings, const std::string &body,
                          const gooseberrymoor::http_reply &reply);
