#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace gooseberrymoor {

class leaf_reply_sink;
struct leaf_request;

// What an owner does for the nodes that send leaf requests to its targets. Not thread-safe.
class leaf_service
{
public:
    virtual ~leaf_service() = default;

    // Takes a request of node `origin`; the answer goes to `sink`.
    virtual void submit(const std::string &origin, leaf_request request,
                        std::shared_ptr<leaf_reply_sink> sink)
        = 0;

    // The answer to request `id` of `origin` is no longer wanted.
    virtual void cancel(const std::string &origin, std::uint64_t id) = 0;
};

} // namespace gooseberrymoor
