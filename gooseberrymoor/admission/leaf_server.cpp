#include "gooseberrymoor/admission/leaf_server.h"

#include "gooseberrymoor/admission/leaf_codec.h"
#include "gooseberrymoor/admission/leaf_reply_sink.h"
#include "gooseberrymoor/admission/leaf_service.h"
#include "gooseberrymoor/peer/peer_channel.h"

namespace gooseberrymoor {

namespace {

class channel_reply_sink : public leaf_reply_sink
{
public:
    explicit channel_reply_sink(std::shared_ptr<peer_channel> channel)
        : m_channel(std::move(channel))
    {
    }
    void reply(leaf_response response) override { sendLeafResponse(*m_channel, response); }

private:
    std::shared_ptr<peer_channel> m_channel;
};

} // namespace

leaf_server::leaf_server(leaf_service &service) : m_service(service) { }

bool leaf_server::onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message)
{
    if (message.kind == message_kind::leaf_request) {
        auto request = decodeLeafRequest(message.payload);
        if (!request)
            return false;
        m_service.submit(channel->peerName(), std::move(*request),
                         std::make_shared<channel_reply_sink>(channel));
        return true;
    }
    const auto cancelled = decodeLeafCancel(message.payload);
    if (!cancelled)
        return false;
    m_service.cancel(channel->peerName(), *cancelled);
    return true;
}

void leaf_server::onChannelClosed(const std::shared_ptr<peer_channel> &) { }

} // namespace gooseberrymoor
