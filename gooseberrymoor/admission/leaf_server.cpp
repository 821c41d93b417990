#include "gooseberrymoor/admission/leaf_server.h"

#include "gooseberrymoor/admission/leaf_codec.h"
#include "gooseberrymoor/admission/leaf_reply_sink.h"
#include "gooseberrymoor/admission/leaf_service.h"
#include "gooseberrymoor/peer/peer_channel.h"

namespace gooseberrymoor {

class leaf_server::reply_sink : public leaf_reply_sink
{
public:
    reply_sink(std::shared_ptr<peer_channel> channel, std::shared_ptr<open_requests> open)
        : m_channel(std::move(channel)), m_openRequests(std::move(open))
    {
    }
    void reply(leaf_response response) override
    {
        m_openRequests->erase(response.id);
        sendLeafResponse(*m_channel, response);
    }

private:
    std::shared_ptr<peer_channel> m_channel;
    std::shared_ptr<open_requests> m_openRequests;
};

leaf_server::leaf_server(leaf_service &service) : m_service(service) { }

leaf_server::~leaf_server() = default;

bool leaf_server::onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message)
{
    if (message.kind == message_kind::leaf_request) {
        auto request = decodeLeafRequest(message.payload);
        if (!request)
            return false;
        auto &open = m_openRequests[channel];
        if (!open)
            open = std::make_shared<open_requests>();
        open->insert(request->id);
        m_service.submit(channel->peerName(), std::move(*request),
                         std::make_shared<reply_sink>(channel, open));
        return true;
    }
    const auto cancelled = decodeLeafCancel(message.payload);
    if (!cancelled)
        return false;
    m_service.cancel(channel->peerName(), *cancelled);
    return true;
}

void leaf_server::onChannelClosed(const std::shared_ptr<peer_channel> &channel)
{
    const auto found = m_openRequests.find(channel);
    if (found == m_openRequests.end())
        return;
    const open_requests unanswered = *found->second;
    m_openRequests.erase(found);
    for (const std::uint64_t id : unanswered)
        m_service.cancel(channel->peerName(), id);
}

} // namespace gooseberrymoor
