#include "gooseberrymoor/query/query_runner.h"

#include "gooseberrymoor/query/leaf_gateway.h"
#include "gooseberrymoor/query/leaf_inbox.h"
#include "gooseberrymoor/query/query_run.h"

namespace gooseberrymoor {

namespace {

// Carries the actions of one query out.
class action_performer
{
public:
    action_performer(leaf_gateway &gateway, std::shared_ptr<leaf_inbox> inbox)
        : m_gateway(gateway), m_inbox(std::move(inbox))
    {
    }

    void perform(query_actions actions)
    {
        for (const int attempt : actions.cancels)
            m_gateway.cancel(m_ids[attempt]);
        for (leaf_call &call : actions.sends) {
            const int attempt = call.attempt;
            m_ids[attempt] = m_gateway.send(std::move(call), m_inbox);
        }
    }

private:
    leaf_gateway &m_gateway;
    std::shared_ptr<leaf_inbox> m_inbox;
    std::map<int, std::uint64_t> m_ids;
};

} // namespace

query_runner::query_runner(leaf_gateway &gateway, leaf_selector &selector, hedge_policy &hedging)
    : m_gateway(gateway), m_selector(selector), m_hedging(hedging)
{
}

asio::awaitable<query_answer> query_runner::run(query_request request)
{
    ++m_running;
    const auto inbox = std::make_shared<leaf_inbox>(co_await asio::this_coro::executor);
    action_performer performer(m_gateway, inbox);
    query_run decision(std::move(request), m_routes, m_selector, m_hedging);
    performer.perform(decision.start(millis_clock::now()));
    while (!decision.isFinished()) {
        co_await inbox->wait(decision.nextWake());
        while (auto entry = inbox->pop()) {
            performer.perform(
                decision.onResponse(entry->first, std::move(entry->second), millis_clock::now()));
        }
        performer.perform(decision.onTime(millis_clock::now()));
    }
    --m_running;
    co_return decision.answer();
}

} // namespace gooseberrymoor
