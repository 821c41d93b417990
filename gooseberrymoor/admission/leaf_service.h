#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace gooseberrymoor {

class leaf_reply_sink;
struct leaf_request;

// Executes leaf requests that nodes send to the owner of a target. Not thread-safe.
class leaf_service
{
public:
    virtual ~leaf_service() = default;

    // Accepts a request from node `origin`; the answer goes to `sink`.
    virtual void submit(const std::string &origin, leaf_request request,
                        std::shared_ptr<leaf_reply_sink> sink)
        = 0;

    // Cancels request `id` of `origin`, whose answer is no longer needed.
    virtual void cancel(const std::string &origin, std::uint64_t id) = 0;
};

} // namespace gooseberrymoor
