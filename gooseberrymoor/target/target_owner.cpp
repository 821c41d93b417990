#include "gooseberrymoor/target/target_owner.h"

#include "gooseberrymoor/admission/leaf_reply_sink.h"
#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/configuration/configuration.h"
#include "gooseberrymoor/target/target_pool.h"

#include <set>

namespace gooseberrymoor {

target_owner::target_owner(asio::any_io_executor executor, ownership_test isOwner, counters &events)
    : m_executor(std::move(executor)), m_isOwner(std::move(isOwner)), m_events(events)
{
}

target_owner::~target_owner() = default;

void target_owner::update(const configuration &current)
{
    std::map<std::string, std::shared_ptr<target_pool>> kept;
    for (const auto &[name, service] : current.services) {
        for (const group_config &group : service.groups) {
            for (const target_config &target : group.targets) {
                const std::string key = name + "/" + target.name;
                if (!m_isOwner(key))
                    continue;
                const auto found = m_pools.find(key);
                const bool same = found != m_pools.end() && found->second->target() == target;
                kept[key] = same ? found->second
                                 : std::make_shared<target_pool>(m_executor, name, target,
                                                                 service.limits, *this, m_events);
            }
        }
    }
    for (const auto &[key, pool] : m_pools) {
        const auto found = kept.find(key);
        if (found != kept.end() && found->second == pool)
            continue;
        pool->retire();
        m_retired.push_back(pool);
    }
    m_pools = std::move(kept);
}

void target_owner::submit(const std::string &origin, leaf_request request,
                          std::shared_ptr<leaf_reply_sink> sink)
{
    const auto found = m_pools.find(request.service + "/" + request.target);
    if (found == m_pools.end()) {
        m_events.add("leaf_requests_not_owned");
        leaf_response response;
        response.id = request.id;
        response.error = error_kind::not_owner;
        sink->reply(std::move(response));
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

bool target_owner::mayStart(std::string_view target, time_point) const
{
    return m_isOwner(target);
}

bool target_owner::mayStillRun(std::string_view target) const
{
    const auto found = m_pools.find(std::string(target));
    if (found != m_pools.end() && !found->second->isIdle())
        return true;
    return std::ranges::any_of(
        m_retired, [target](const auto &pool) { return pool->key() == target && !pool->isIdle(); });
}

bool target_owner::isIdle()
{
    std::erase_if(m_retired, [](const auto &pool) { return pool->isIdle(); });
    const bool poolsIdle
        = std::ranges::all_of(m_pools, [](const auto &each) { return each.second->isIdle(); });
    return poolsIdle && m_retired.empty();
}

} // namespace gooseberrymoor
