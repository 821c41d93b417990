#include "gooseberrymoor/http/http_handler.h"

#include "gooseberrymoor/http/error_reply.h"

namespace gooseberrymoor {

http_reply http_handler::refuse(error_kind kind, std::string detail)
{
    return toReply({ kind, verdict::not_run, std::move(detail) });
}

} // namespace gooseberrymoor
