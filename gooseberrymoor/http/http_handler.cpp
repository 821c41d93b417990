#include "gooseberrymoor/http/http_handler.h"

#include "gooseberrymoor/http/error_reply.h"

namespace gooseberrymoor {

http_reply http_handler::refuse(error_kind kind)
{
    return toReply({ kind, verdict::not_run, "" });
}

} // namespace gooseberrymoor
