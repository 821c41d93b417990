#include "gooseberrymoor/query/leaf_client.h"

#include "gooseberrymoor/admission/leaf_codec.h"
#include "gooseberrymoor/admission/leaf_reply_sink.h"
#include "gooseberrymoor/admission/leaf_service.h"
#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/peer/peer_channel.h"
#include "gooseberrymoor/peer/peer_network.h"
#include "gooseberrymoor/query/leaf_response_queue.h"

namespace gooseberrymoor {

namespace {

leaf_response makeFailure(std::uint64_t id, error_kind kind, verdict outcome)
{
    leaf_response response;
    response.id = id;
    response.error = kind;
    response.outcome = outcome;
    return response;
}

} // namespace

class leaf_client::local_reply_sink : public leaf_reply_sink
{
public:
    explicit local_reply_sink(std::weak_ptr<leaf_client *> leafClient)
        : m_leafClient(std::move(leafClient))
    {
    }
    void reply(leaf_response response) override
    {
        const std::uint64_t id = response.id;
        if (const auto leafClient = m_leafClient.lock())
            (*leafClient)->completeLocal(id, std::move(response));
    }

private:
    std::weak_ptr<leaf_client *> m_leafClient;
};

leaf_client::leaf_client(std::string ownName, peer_network &network, leaf_service &local,
                         counters &events)
    : m_ownName(std::move(ownName)), m_network(network), m_local(local), m_events(events),
      m_self(std::make_shared<leaf_client *>(this))
{
}

leaf_client::~leaf_client() = default;

std::uint64_t leaf_client::send(outgoing_leaf_request outgoing,
                                std::shared_ptr<leaf_response_queue> responses)
{
    const std::uint64_t id = ++m_lastId;
    outgoing.request.id = id;
    m_events.add("leaf_requests");
    pending_request &entry = m_pending[id];
    entry = { outgoing.attempt, outgoing.owner, std::move(responses), nullptr, 0 };
    if (outgoing.owner == m_ownName) {
        m_local.submit(m_ownName, std::move(outgoing.request),
                       std::make_shared<local_reply_sink>(m_self));
        return id;
    }
    entry.channel = m_network.channelTo(outgoing.owner);
    entry.position = entry.channel ? sendLeafRequest(*entry.channel, outgoing.request) : 0;
    if (entry.position == 0)
        complete(id, makeFailure(id, error_kind::link_lost, verdict::not_run));
    return id;
}

void leaf_client::cancel(std::uint64_t id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    m_events.add("leaf_cancels");
    const auto channel = found->second.channel;
    m_pending.erase(found);
    if (channel)
        sendLeafCancel(*channel, id);
    else
        m_local.cancel(m_ownName, id);
}

bool leaf_client::onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message)
{
    auto response = decodeLeafResponse(message.payload);
    if (!response)
        return false;
    const auto found = m_pending.find(response->id);
    if (found == m_pending.end() || found->second.channel != channel) {
        m_events.add("leaf_answers_dropped");
        return true;
    }
    const std::uint64_t id = response->id;
    complete(id, std::move(*response));
    return true;
}

void leaf_client::onChannelClosed(const std::shared_ptr<peer_channel> &channel)
{
    std::vector<std::pair<std::uint64_t, std::uint64_t>> lost;
    for (const auto &[id, entry] : m_pending) {
        if (entry.channel == channel)
            lost.emplace_back(id, entry.position);
    }
    for (const auto &[id, position] : lost) {
        const verdict outcome
            = channel->mayHaveBeenSent(position) ? verdict::may_have_run : verdict::not_run;
        complete(id, makeFailure(id, error_kind::link_lost, outcome));
    }
}

void leaf_client::completeLocal(std::uint64_t id, leaf_response response)
{
    if (m_pending.contains(id))
        complete(id, std::move(response));
    else
        m_events.add("leaf_answers_dropped");
}

void leaf_client::complete(std::uint64_t id, leaf_response response)
{
    const auto found = m_pending.find(id);
    const auto responses = found->second.responses;
    const int attempt = found->second.attempt;
    m_pending.erase(found);
    responses->push(attempt, std::move(response));
}

} // namespace gooseberrymoor
