#pragma once

#include "gooseberrymoor/http/framing_fault.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace gooseberrymoor {

// The method whose replies have no body.
constexpr std::string_view method_head = "HEAD";

// How the end of a message's body is found.
enum class body_framing {
    no_body,
    length,
    chunked,
    until_close, // replies only
    refused, // it can't be told for sure; see the fault
};

constexpr name_table<body_framing, 5> names(body_framing)
{
    return { { { body_framing::no_body, "no_body" },
               { body_framing::length, "length" },
               { body_framing::chunked, "chunked" },
               { body_framing::until_close, "until_close" },
               { body_framing::refused, "refused" } } };
}

// What the fields of a message's header say of its body. Value type.
struct message_framing
{
    body_framing kind = body_framing::no_body;
    std::uint64_t length = 0; // of the body, in bytes, if `kind` is `length`
    framing_fault fault = framing_fault::none; // why, if `kind` is `refused`

    bool operator==(const message_framing &) const = default;
};

// The fields of a message's header that frame its body. The values must outlive it.
struct framing_fields
{
    bool isHttp10 = false; // the message's version is below HTTP/1.1
    std::vector<std::string_view> transferEncodings; // the values of all fields, in order
    std::vector<std::string_view> contentLengths;
};

// Tells how the body of a request or reply is framed, by RFC 9112, section 6. Stricter than the
// standard where two readers could disagree: the only transfer coding is `chunked`, alone and
// without parameters, and a Content-Length beside it is a fault. Equal lengths count as one.
// Pure functions.
message_framing requestFraming(const framing_fields &fields);

// `hasNoBody`: the reply has none whatever its fields say (see `isReplyWithoutBody`).
message_framing replyFraming(const framing_fields &fields, bool hasNoBody);

// Whether a reply with `status` to a request with `method` has no body.
bool isReplyWithoutBody(std::string_view method, unsigned status);

} // namespace gooseberrymoor
