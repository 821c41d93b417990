#include "gooseberrymoor/http/error_reply.h"

#include <boost/json.hpp>

namespace gooseberrymoor {

unsigned httpStatusOf(error_kind kind)
{
    switch (kind) {
    case error_kind::none:
        return 200;
    case error_kind::bad_request:
        return 400;
    case error_kind::unknown_service:
    case error_kind::unknown_shard:
        return 404;
    case error_kind::method_not_allowed:
        return 405;
    case error_kind::too_large:
        return 413;
    case error_kind::header_too_large:
        return 431;
    case error_kind::request_too_slow:
        return 408;
    case error_kind::not_implemented:
        return 501;
    case error_kind::deadline_passed:
    case error_kind::timed_out:
        return 504;
    case error_kind::target_failed:
    case error_kind::malformed_answer:
    case error_kind::target_lost:
    case error_kind::link_lost:
        return 502;
    default:
        return 503;
    }
}

http_reply toReply(const request_error &error)
{
    const boost::json::object body { { "error",
                                       { { "kind", nameOf(error.kind) },
                                         { "verdict", nameOf(error.outcome) },
                                         { "detail", error.detail } } } };
    return { httpStatusOf(error.kind), boost::json::serialize(body) };
}

} // namespace gooseberrymoor
