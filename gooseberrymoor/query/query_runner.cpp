#include "gooseberrymoor/query/query_runner.h"

#include "gooseberrymoor/base/cancellation.h"
#include "gooseberrymoor/query/leaf_client.h"
#include "gooseberrymoor/query/leaf_response_queue.h"
#include "gooseberrymoor/query/query_run.h"

namespace gooseberrymoor {

namespace {

// Carries out the actions of one query.
class action_dispatcher
{
public:
    action_dispatcher(leaf_client &leafClient, std::shared_ptr<leaf_response_queue> responses)
        : m_leafClient(leafClient), m_responses(std::move(responses))
    {
    }

    void dispatch(query_actions actions)
    {
        for (const int attempt : actions.cancels)
            m_leafClient.cancel(m_ids.at(static_cast<std::size_t>(attempt) - 1));
        for (outgoing_leaf_request &outgoing : actions.sends)
            m_ids.push_back(m_leafClient.send(std::move(outgoing), m_responses));
    }

private:
    leaf_client &m_leafClient;
    std::shared_ptr<leaf_response_queue> m_responses;
    std::vector<std::uint64_t> m_ids; // request id of attempt n at index n - 1
};

// Counts a query as running for its own lifetime. Wakes the query's task when the caller abandons
// the query.
class running_query_scope
{
public:
    running_query_scope(std::size_t &running, std::shared_ptr<cancellation> abandoned,
                        const std::shared_ptr<leaf_response_queue> &responses)
        : m_running(running), m_abandoned(std::move(abandoned))
    {
        ++m_running;
        if (m_abandoned)
            m_abandoned->setListener([responses] { responses->wake(); });
    }
    ~running_query_scope()
    {
        --m_running;
        if (m_abandoned)
            m_abandoned->setListener({});
    }
    running_query_scope(const running_query_scope &) = delete;
    running_query_scope &operator=(const running_query_scope &) = delete;

    bool isAbandoned() const { return m_abandoned && m_abandoned->isCancelled(); }

private:
    std::size_t &m_running;
    std::shared_ptr<cancellation> m_abandoned;
};

} // namespace

query_runner::query_runner(leaf_client &leafClient, query_policies policies)
    : m_leafClient(leafClient), m_policies(policies)
{
}

asio::awaitable<query_answer> query_runner::run(query_request request,
                                                std::shared_ptr<cancellation> abandoned)
{
    const auto responses
        = std::make_shared<leaf_response_queue>(co_await asio::this_coro::executor);
    const running_query_scope scope(m_running, std::move(abandoned), responses);
    action_dispatcher dispatcher(m_leafClient, responses);
    query_run query(std::move(request), m_routes, m_policies);
    dispatcher.dispatch(query.start(millis_clock::now()));
    while (!query.isFinished()) {
        co_await responses->wait(query.nextWake());
        query.setRoutes(m_routes);
        while (auto entry = responses->pop()) {
            dispatcher.dispatch(
                query.onResponse(entry->first, std::move(entry->second), millis_clock::now()));
        }
        dispatcher.dispatch(query.onTime(millis_clock::now()));
        if (scope.isAbandoned())
            dispatcher.dispatch(query.abandon(millis_clock::now()));
    }
    co_return query.answer();
}

} // namespace gooseberrymoor
