#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrymoor {

class byte_reservation;
class cancellation;
class http_body_source;

// The header fields of a message in order, without hop-by-hop and framing fields.
using http_headers = std::vector<std::pair<std::string, std::string>>;

// An HTTP request. Value type.
// It has a constructor because g++ 12 destroys a brace-initialized aggregate twice if it is a
// temporary in a co_await expression.
struct http_request
{
    http_request(std::string requestMethod, std::string requestPath, std::string requestBody = "")
        : method(std::move(requestMethod)), path(std::move(requestPath)),
          body(std::move(requestBody))
    {
    }

    std::string method;
    std::string path; // with the query string
    std::string body; // JSON unless `headers` say otherwise
    std::string host; // the Host field; if empty when sending, the server's address
    http_headers headers;
    bool firstOnConnection = false; // it is the first request on its connection
    std::shared_ptr<cancellation> abandoned; // cancelled when the client disconnects; may be null
};

// The reply to an `http_request`. Value type.
struct http_reply
{
    http_reply() = default;
    http_reply(unsigned replyStatus, std::string replyBody,
               std::string replyContentType = "application/json")
        : status(replyStatus), body(std::move(replyBody)), contentType(std::move(replyContentType))
    {
    }

    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
    http_headers headers;
    bool closeAfter = false; // the server closes the connection after this reply
    int keepAliveSeconds = 0; // idle timeout from the server's Keep-Alive field; 0 if absent
    bool hasTrailingBytes = false; // unsolicited bytes followed this reply
    std::shared_ptr<byte_reservation> reservation; // of a received body; held as long as the body
    std::shared_ptr<http_body_source> bodySource; // if set, provides the body, sent in chunks
};

} // namespace gooseberrymoor
