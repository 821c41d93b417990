#pragma once

#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/query/query_answer.h"
#include "gooseberrymoor/query/query_policies.h"
#include "gooseberrymoor/query/query_request.h"

#include <cstddef>
#include <memory>

namespace gooseberrymoor {

class cancellation;
class leaf_client;
class leaf_candidate_table;

// Runs queries, each within the task that calls `run`. Not thread-safe.
class query_runner
{
public:
    // References must outlive the runner.
    query_runner(leaf_client &leafClient, query_policies policies);

    // Uses `routes` for new queries and for what running ones send from now on.
    void setRoutes(std::shared_ptr<const leaf_candidate_table> routes)
    {
        m_routes = std::move(routes);
    }

    // Returns the routes in use; null until `setRoutes` was called.
    std::shared_ptr<const leaf_candidate_table> routes() const { return m_routes; }

    // Runs one query until its answer is complete or `abandoned`, which may be null, is cancelled.
    // The service must be in the routes.
    asio::awaitable<query_answer> run(query_request request,
                                      std::shared_ptr<cancellation> abandoned);

    // Returns the number of queries in progress.
    std::size_t running() const { return m_running; }

private:
    leaf_client &m_leafClient;
    query_policies m_policies;
    std::shared_ptr<const leaf_candidate_table> m_routes;
    std::size_t m_running = 0;
};

} // namespace gooseberrymoor
