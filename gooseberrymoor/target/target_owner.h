#pragma once

#include "gooseberrymoor/admission/leaf_service.h"
#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/membership/request_tracker.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrymoor {

class counters;
class target_ownership;
class target_pool;
struct configuration;
struct endpoint;
struct target_config;
struct target_limits;

// The targets that this node owns, each with its pool. Not thread-safe.
class target_owner : public leaf_service, public request_tracker
{
public:
    // `ownership` says which targets are this node's. No request runs longer than
    // `longestRequest`. References must outlive the owner's last task.
    target_owner(asio::any_io_executor executor, const target_ownership &ownership,
                 duration longestRequest, counters &events);
    ~target_owner() override;

    // Makes pools for the targets owned now under `current` and retires all others. Targets that
    // are leaving or whose availability zone is out take no work until that ends.
    void update(const configuration &current);

    // Retires all pools, so that their tasks end.
    void stop();

    void submit(const std::string &origin, leaf_request request,
                std::shared_ptr<leaf_reply_sink> sink) override;
    void cancel(const std::string &origin, std::uint64_t id) override;

    bool mayHaveRunningRequests(std::string_view target) const override;

    // The pools by target "service/name".
    const std::map<std::string, std::shared_ptr<target_pool>> &pools() const { return m_pools; }

    // Whether nothing waits and nothing runs at any target, retired ones included.
    bool isIdle();

private:
    std::shared_ptr<target_pool> poolFor(const std::string &service, const target_config &target,
                                         const target_limits &limits);
    std::shared_ptr<target_pool> takeRetired(const std::string &key, const endpoint &address);
    void forgetIdle();

    asio::any_io_executor m_executor;
    const target_ownership &m_ownership;
    duration m_longestRequest;
    counters &m_events;
    std::map<std::string, std::shared_ptr<target_pool>> m_pools;
    std::vector<std::shared_ptr<target_pool>> m_retired; // until they are idle
};

} // namespace gooseberrymoor
