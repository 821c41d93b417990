#pragma once

#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/query/query_answer.h"
#include "gooseberrymoor/query/query_request.h"

#include <cstddef>
#include <memory>

namespace gooseberrymoor {

class hedge_policy;
class leaf_gateway;
class leaf_selector;
class routing_table;

// Runs queries within the task that calls it. Not thread-safe.
class query_runner
{
public:
    // References must outlive the runner.
    query_runner(leaf_gateway &gateway, leaf_selector &selector, hedge_policy &hedging);

    // Uses `routes` for queries that begin from now on.
    void setRoutes(std::shared_ptr<const routing_table> routes) { m_routes = std::move(routes); }

    // The routes in use; null before the first.
    std::shared_ptr<const routing_table> routes() const { return m_routes; }

    // Runs one query to its answer. Its service must be in the routes.
    asio::awaitable<query_answer> run(query_request request);

    // Queries that run now.
    std::size_t running() const { return m_running; }

private:
    leaf_gateway &m_gateway;
    leaf_selector &m_selector;
    hedge_policy &m_hedging;
    std::shared_ptr<const routing_table> m_routes;
    std::size_t m_running = 0;
};

} // namespace gooseberrymoor
