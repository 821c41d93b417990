#include "gooseberrymoor/query/query_runner.h"

#include "gooseberrymoor/base/cancellation.h"
#include "gooseberrymoor/query/leaf_client.h"
#include "gooseberrymoor/query/leaf_inbox.h"
#include "gooseberrymoor/query/query_run.h"

namespace gooseberrymoor {

namespace {

// Carries the actions of one query out.
class action_performer
{
public:
    action_performer(leaf_client &leafClient, std::shared_ptr<leaf_inbox> inbox)
        : m_leafClient(leafClient), m_inbox(std::move(inbox))
    {
    }

    void perform(query_actions actions)
    {
        for (const int attempt : actions.cancels)
            m_leafClient.cancel(m_ids.at(static_cast<std::size_t>(attempt) - 1));
        for (leaf_call &call : actions.sends)
            m_ids.push_back(m_leafClient.send(std::move(call), m_inbox));
    }

private:
    leaf_client &m_leafClient;
    std::shared_ptr<leaf_inbox> m_inbox;
    std::vector<std::uint64_t> m_ids; // of attempt n at n - 1
};

// Counts a query as running for its own lifetime, and listens for its end by the caller.
class running_scope
{
public:
    running_scope(std::size_t &running, std::shared_ptr<cancellation> abandoned,
                  const std::shared_ptr<leaf_inbox> &inbox)
        : m_running(running), m_abandoned(std::move(abandoned))
    {
        ++m_running;
        if (m_abandoned)
            m_abandoned->setListener([inbox] { inbox->wake(); });
    }
    ~running_scope()
    {
        --m_running;
        if (m_abandoned)
            m_abandoned->setListener({});
    }
    running_scope(const running_scope &) = delete;
    running_scope &operator=(const running_scope &) = delete;

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
    const auto inbox = std::make_shared<leaf_inbox>(co_await asio::this_coro::executor);
    const running_scope scope(m_running, std::move(abandoned), inbox);
    action_performer performer(m_leafClient, inbox);
    query_run decision(std::move(request), m_routes, m_policies);
    performer.perform(decision.start(millis_clock::now()));
    while (!decision.isFinished()) {
        co_await inbox->wait(decision.nextWake());
        decision.setRoutes(m_routes);
        while (auto entry = inbox->pop()) {
            performer.perform(
                decision.onResponse(entry->first, std::move(entry->second), millis_clock::now()));
        }
        performer.perform(decision.onTime(millis_clock::now()));
        if (scope.isAbandoned())
            performer.perform(decision.abandon(millis_clock::now()));
    }
    co_return decision.answer();
}

} // namespace gooseberrymoor
