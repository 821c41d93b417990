#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrymoor {

class cancellation;
class http_body_source;

// The header fields of a message in their order, without those that concern its framing.
using http_headers = std::vector<std::pair<std::string, std::string>>;

// One HTTP request without its connection. Value type.
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
    std::string host; // as the client named it; of a request that is sent, empty means the server
    http_headers headers;
    bool firstOnConnection = false; // the client opened the connection for it
    std::shared_ptr<cancellation> abandoned; // cancelled when the client closes; may be null
};

// The answer to an `http_request`. Value type.
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
    int keepAliveSeconds = 0; // how long the server keeps an idle connection; 0 if it did not say
    bool hasTrailingBytes = false; // bytes that nobody asked for came behind this reply
    std::shared_ptr<http_body_source> bodySource; // if set, the body, sent in chunks
};

} // namespace gooseberrymoor
