#include "gooseberrymoor/target/target_owner.h"

#include "gooseberrymoor/admission/leaf_reply_sink.h"
#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/configuration/configuration.h"
#include "gooseberrymoor/membership/target_ownership.h"
#include "gooseberrymoor/target/target_pool.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

void refuse(const leaf_request &request, leaf_reply_sink &sink, error_kind reason)
{
    leaf_response response;
    response.id = request.id;
    response.error = reason;
    sink.reply(std::move(response));
}

} // namespace

target_owner::target_owner(asio::any_io_executor executor, const target_ownership &ownership,
                           duration maxRequestDuration, counters &counters)
    : m_executor(std::move(executor)), m_ownership(ownership),
      m_maxRequestDuration(maxRequestDuration), m_counters(counters)
{
}

target_owner::~target_owner() = default;

void target_owner::update(const configuration &current)
{
    std::map<std::string, std::shared_ptr<target_pool>> active;
    for (const auto &[name, service] : current.services) {
        for (const group_config &group : service.groups) {
            for (const target_config &target : group.targets) {
                const std::string key = name + "/" + target.name;
                if (!m_ownership.isOwner(key))
                    continue;
                const auto pool = poolFor(name, target, service.limits);
                const bool isExcluded
                    = target.leaving || current.zonesOut.contains(target.availabilityZone);
                if (isExcluded)
                    pool->close(error_kind::draining);
                else
                    pool->open();
                active[key] = pool;
            }
        }
    }
    for (const auto &[key, pool] : m_pools) {
        const auto found = active.find(key);
        if (found != active.end() && found->second == pool)
            continue;
        pool->close(m_ownership.isOwner(key) ? error_kind::draining : error_kind::not_owner);
        m_retired.push_back(pool);
    }
    m_pools = std::move(active);
    removeIdleRetired();
}

void target_owner::stop()
{
    for (const auto &[key, pool] : m_pools) {
        pool->close(error_kind::draining);
        m_retired.push_back(pool);
    }
    m_pools.clear();
}

std::shared_ptr<target_pool> target_owner::poolFor(const std::string &service,
                                                   const target_config &target,
                                                   const target_limits &limits)
{
    const std::string key = service + "/" + target.name;
    const auto found = m_pools.find(key);
    const bool isReusable
        = found != m_pools.end() && found->second->target().address == target.address;
    // A target that returns gets its retired pool back: requests that the pool has sent may still
    // be running and must stay counted.
    const auto pool = isReusable ? found->second : takeRetired(key, target.address);
    if (!pool)
        return std::make_shared<target_pool>(m_executor, service, target, limits, m_ownership,
                                             m_counters);
    pool->configure(target, limits);
    return pool;
}

std::shared_ptr<target_pool> target_owner::takeRetired(const std::string &key,
                                                       const endpoint &address)
{
    const auto found = std::ranges::find_if(m_retired, [&](const auto &pool) {
        return pool->key() == key && pool->target().address == address;
    });
    if (found == m_retired.end())
        return nullptr;
    const auto pool = *found;
    m_retired.erase(found);
    return pool;
}

void target_owner::removeIdleRetired()
{
    std::erase_if(m_retired, [](const auto &pool) { return pool->isIdle(); });
}

void target_owner::submit(const std::string &origin, leaf_request request,
                          std::shared_ptr<leaf_reply_sink> sink)
{
    const auto found = m_pools.find(request.service + "/" + request.target);
    if (found == m_pools.end()) {
        m_counters.add("leaf_requests_not_owned");
        refuse(request, *sink, error_kind::not_owner);
        return;
    }
    // The next owner relies on no request running longer than this.
    request.timeout = std::min(request.timeout, m_maxRequestDuration);
    if (!m_ownership.maySend(found->first, millis_clock::now())) {
        m_counters.add("leaf_requests_without_owner");
        refuse(request, *sink, error_kind::no_owner);
        return;
    }
    found->second->submit(origin, std::move(request), std::move(sink));
}

void target_owner::cancel(const std::string &origin, std::uint64_t id)
{
    for (const auto &[key, pool] : m_pools)
        pool->cancel(origin, id);
    for (const auto &pool : m_retired)
        pool->cancel(origin, id);
}

bool target_owner::mayHaveRunningRequests(std::string_view target) const
{
    const time_point now = millis_clock::now();
    const auto found = m_pools.find(std::string(target));
    if (found != m_pools.end() && found->second->mayHaveRunningRequests(now))
        return true;
    return std::ranges::any_of(m_retired, [&](const auto &pool) {
        return pool->key() == target && pool->mayHaveRunningRequests(now);
    });
}

bool target_owner::isIdle()
{
    const time_point now = millis_clock::now();
    std::erase_if(m_retired,
                  [now](const auto &pool) { return !pool->mayHaveRunningRequests(now); });
    const bool poolsIdle = std::ranges::none_of(
        m_pools, [now](const auto &each) { return each.second->mayHaveRunningRequests(now); });
    return poolsIdle && m_retired.empty();
}

} // namespace gooseberrymoor
