#include "gooseberrymoor/admission/leaf_codec.h"

#include "gooseberrymoor/admission/leaf_message_generated.h"
#include "gooseberrymoor/peer/peer_channel.h"
#include "gooseberrymoor/peer/wire.h"

namespace gooseberrymoor {

std::uint64_t sendLeafRequest(peer_channel &channel, const leaf_request &request)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Createleaf_request(
        builder, request.id, builder.CreateString(request.service),
        builder.CreateString(request.target), builder.CreateString(request.shard),
        builder.CreateString(request.snapshot), request.idempotent, request.timeout.count(),
        builder.CreateString(request.body), builder.CreateString(request.route)));
    return channel.send(message_kind::leaf_request, bytesOf(builder));
}

std::uint64_t sendLeafResponse(peer_channel &channel, const leaf_response &response)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Createleaf_response(
        builder, response.id, static_cast<std::uint8_t>(response.error),
        static_cast<std::uint8_t>(response.outcome), builder.CreateString(response.snapshot),
        builder.CreateString(response.body), response.queued));
    return channel.send(message_kind::leaf_response, bytesOf(builder));
}

std::uint64_t sendLeafCancel(peer_channel &channel, std::uint64_t id)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Createleaf_cancel(builder, id));
    return channel.send(message_kind::leaf_cancel, bytesOf(builder));
}

std::optional<leaf_request> decodeLeafRequest(std::span<const std::uint8_t> payload)
{
    const auto *from = verifiedRoot<wire::leaf_request>(payload);
    if (!from)
        return std::nullopt;
    return leaf_request { from->id(),
                          textOf(from->service()),
                          textOf(from->target()),
                          textOf(from->shard()),
                          textOf(from->snapshot()),
                          from->idempotent(),
                          duration(from->timeout_ms()),
                          textOf(from->body()),
                          textOf(from->route()) };
}

std::optional<leaf_response> decodeLeafResponse(std::span<const std::uint8_t> payload)
{
    const auto *from = verifiedRoot<wire::leaf_response>(payload);
    if (!from)
        return std::nullopt;
    const auto error = static_cast<error_kind>(from->error());
    const auto outcome = static_cast<verdict>(from->outcome());
    if (nameOf(error) == "unknown" || nameOf(outcome) == "unknown")
        return std::nullopt;
    return leaf_response { from->id(),           error,         outcome, textOf(from->snapshot()),
                           textOf(from->body()), from->queued() };
}

std::optional<std::uint64_t> decodeLeafCancel(std::span<const std::uint8_t> payload)
{
    const auto *from = verifiedRoot<wire::leaf_cancel>(payload);
    if (!from)
        return std::nullopt;
    return from->id();
}

} // namespace gooseberrymoor
