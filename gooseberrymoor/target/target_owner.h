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

// Manages one `target_pool` for each target that this node owns. Not thread-safe.
class target_owner : public leaf_service, public request_tracker
{
public:
    // `ownership` determines which targets this node owns. The timeout of every request is limited
    // to `maxRequestDuration`. References must outlive the owner's last task.
    target_owner(asio::any_io_executor executor, const target_ownership &ownership,
                 duration maxRequestDuration, counters &counters);
    ~target_owner() override;

    // Creates or updates the pools of the targets that this node owns under `current`, and retires
    // all other pools. Pools of targets that are leaving or whose availability zone is out of
    // service are closed until that ends.
    void update(const configuration &current);

    // Retires all pools, which ends their tasks once they are idle.
    void stop();

    void submit(const std::string &origin, leaf_request request,
                std::shared_ptr<leaf_reply_sink> sink) override;
    void cancel(const std::string &origin, std::uint64_t id) override;

    bool mayHaveRunningRequests(std::string_view target) const override;

    // The pools, by target ("service/name").
    const std::map<std::string, std::shared_ptr<target_pool>> &pools() const { return m_pools; }

    // Whether no request is queued or may be running at any target, including those of retired
    // pools. Removes retired pools that are idle.
    bool isIdle();

private:
    std::shared_ptr<target_pool> poolFor(const std::string &service, const target_config &target,
                                         const target_limits &limits);
    std::shared_ptr<target_pool> takeRetired(const std::string &key, const endpoint &address);
    void removeIdleRetired();

    asio::any_io_executor m_executor;
    const target_ownership &m_ownership;
    duration m_maxRequestDuration;
    counters &m_counters;
    std::map<std::string, std::shared_ptr<target_pool>> m_pools;
    std::vector<std::shared_ptr<target_pool>> m_retired; // until they are idle
};

} // namespace gooseberrymoor
