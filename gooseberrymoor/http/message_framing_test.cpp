#include "gooseberrymoor/http/message_framing.h"

#include <doctest/doctest.h>

#include <limits>
#include <vector>

using namespace gooseberrymoor;

namespace {

constexpr message_framing chunked { body_framing::chunked };
constexpr message_framing until_close { body_framing::until_close };

constexpr message_framing refused(framing_fault fault)
{
    return { body_framing::refused, 0, fault };
}

constexpr message_framing withLength(std::uint64_t length)
{
    return { body_framing::length, length };
}

// One combination of fields and what it means.
struct framing_case
{
    std::vector<std::string_view> transferEncodings;
    std::vector<std::string_view> contentLengths;
    message_framing expected;
};

const std::vector<framing_case> sound_cases {
    { {}, { "0" }, withLength(0) },
    { {}, { "5" }, withLength(5) },
    { {}, { "005" }, withLength(5) },
    { {}, { "\t5 " }, withLength(5) },
    { {}, { "5", "5" }, withLength(5) },
    { {}, { "5, 5" }, withLength(5) },
    { {}, { "18446744073709551615" }, withLength(std::numeric_limits<std::uint64_t>::max()) },
    { { "chunked" }, {}, chunked },
    { { " ChunkeD\t" }, {}, chunked },
};

const std::vector<framing_case> length_faults {
    { {}, { "" }, refused(framing_fault::bad_length) },
    { {}, { "+5" }, refused(framing_fault::bad_length) },
    { {}, { "-5" }, refused(framing_fault::bad_length) },
    { {}, { "0x5" }, refused(framing_fault::bad_length) },
    { {}, { "5f" }, refused(framing_fault::bad_length) },
    { {}, { "5 5" }, refused(framing_fault::bad_length) },
    { {}, { "5," }, refused(framing_fault::bad_length) },
    { {}, { "\"5\"" }, refused(framing_fault::bad_length) },
    { {}, { "18446744073709551616" }, refused(framing_fault::bad_length) },
    { {}, { "5", "" }, refused(framing_fault::bad_length) },
    { {}, { "5", "6" }, refused(framing_fault::conflicting_lengths) },
    { {}, { "5, 6" }, refused(framing_fault::conflicting_lengths) },
};

const std::vector<framing_case> coding_faults {
    { { "chunked" }, { "5" }, refused(framing_fault::length_and_coding) },
    { { "gzip" }, { "0" }, refused(framing_fault::length_and_coding) },
    { { "" }, { "5" }, refused(framing_fault::length_and_coding) },
    { { "" }, {}, refused(framing_fault::bad_coding) },
    { { "," }, {}, refused(framing_fault::bad_coding) },
    { { "chunked," }, {}, refused(framing_fault::bad_coding) },
    { { "chunked", "" }, {}, refused(framing_fault::bad_coding) },
    { { "chunked;a=b" }, {}, refused(framing_fault::bad_coding) },
    { { ";a=b, chunked" }, {}, refused(framing_fault::bad_coding) },
    { { "chunked chunked" }, {}, refused(framing_fault::bad_coding) },
    { { "\"chunked\"" }, {}, refused(framing_fault::bad_coding) },
    { { "gzip" }, {}, refused(framing_fault::chunked_not_last) },
    { { "identity" }, {}, refused(framing_fault::chunked_not_last) },
    { { "xchunked" }, {}, refused(framing_fault::chunked_not_last) },
    { { "chunked, identity" }, {}, refused(framing_fault::chunked_not_last) },
    { { "chunked", "gzip" }, {}, refused(framing_fault::chunked_not_last) },
    { { "chunked, chunked" }, {}, refused(framing_fault::chunked_not_last) },
    { { "chunked", "chunked" }, {}, refused(framing_fault::chunked_not_last) },
    { { "gzip;a=\"b, chunked\"" }, {}, refused(framing_fault::chunked_not_last) },
    { { "gzip;a=\"\\\", chunked\"" }, {}, refused(framing_fault::chunked_not_last) },
    { { "gzip, chunked" }, {}, refused(framing_fault::unknown_coding) },
    { { "gzip", "chunked" }, {}, refused(framing_fault::unknown_coding) },
    { { "gzip;a=\"b,c\", chunked" }, {}, refused(framing_fault::unknown_coding) },
};

framing_fields fieldsOf(const framing_case &each)
{
    return { false, each.transferEncodings, each.contentLengths };
}

} // namespace

// Guards against smuggled requests: the body of a request in an unknown transfer coding was run as
// a request of its own.
TEST_CASE("The framing of a message")
{
    SUBCASE("is told by a sound length or coding, in requests and replies alike")
    {
        for (const framing_case &each : sound_cases) {
            CHECK(requestFraming(fieldsOf(each)) == each.expected);
            CHECK(replyFraming(fieldsOf(each), false) == each.expected);
        }
    }
    SUBCASE("is refused for a length that isn't one number")
    {
        for (const framing_case &each : length_faults) {
            CHECK(requestFraming(fieldsOf(each)) == each.expected);
            CHECK(replyFraming(fieldsOf(each), false) == each.expected);
        }
    }
    SUBCASE("is refused for any coding but a single chunked")
    {
        for (const framing_case &each : coding_faults) {
            CHECK(requestFraming(fieldsOf(each)) == each.expected);
            CHECK(replyFraming(fieldsOf(each), false) == each.expected);
        }
    }
    SUBCASE("is refused for any coding in HTTP/1.0, which has none")
    {
        for (const std::string_view coding : { "", "chunked", "gzip, chunked" }) {
            const framing_fields fields { true, { coding }, {} };
            CHECK(requestFraming(fields) == refused(framing_fault::coding_in_http_1_0));
        }
        CHECK(requestFraming({ true, {}, { "5" } }) == withLength(5));
    }
    SUBCASE("without both, a request has no body and a reply goes on to the end of its connection")
    {
        CHECK(requestFraming({}) == message_framing {});
        CHECK(replyFraming({}, false) == until_close);
    }
    SUBCASE("of a reply that has no body is told by nothing else")
    {
        CHECK(replyFraming({ false, { "gzip" }, { "5", "6" } }, true) == message_framing {});
        CHECK(isReplyWithoutBody("HEAD", 200));
        for (const unsigned status : { 100U, 103U, 204U, 304U })
            CHECK(isReplyWithoutBody("GET", status));
        for (const unsigned status : { 200U, 205U, 404U, 503U })
            CHECK(!isReplyWithoutBody("POST", status));
    }
}
