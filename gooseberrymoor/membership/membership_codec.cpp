#include "gooseberrymoor/membership/membership_codec.h"

#include "gooseberrymoor/membership/cell_view_codec.h"
#include "gooseberrymoor/membership/membership_message.h"
#include "gooseberrymoor/membership/membership_message_generated.h"
#include "gooseberrymoor/peer/frame.h"
#include "gooseberrymoor/peer/wire.h"

namespace gooseberrymoor {

namespace {

std::optional<membership_message_kind> membershipKindOf(message_kind kind)
{
    return fromName<membership_message_kind>(nameOf(kind));
}

} // namespace

message_kind frameKindOf(membership_message_kind kind)
{
    return fromName<message_kind>(nameOf(kind)).value();
}

std::vector<std::uint8_t> encodeMembershipMessage(const membership_message &message)
{
    flatbuffers::FlatBufferBuilder builder;
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>> targets;
    if (!message.targets.empty())
        targets = builder.CreateVectorOfStrings(message.targets);
    flatbuffers::Offset<flatbuffers::String> view;
    if (message.kind == membership_message_kind::view_update)
        view = builder.CreateString(encodeView(message.view));
    flatbuffers::Offset<flatbuffers::String> subject;
    if (!message.subject.name.empty())
        subject = builder.CreateString(message.subject.name);
    builder.Finish(wire::Createmembership_message(
        builder, message.sender.incarnation, message.epoch, message.replaced, message.recipient,
        message.sentAt.time_since_epoch().count(), message.granted, subject,
        message.subject.incarnation, targets, view));
    const auto bytes = bytesOf(builder);
    return { bytes.begin(), bytes.end() };
}

std::optional<membership_message> decodeMembershipMessage(const std::string &peer,
                                                          const frame &received)
{
    const auto kind = membershipKindOf(received.kind);
    const auto *from = verifiedRoot<wire::membership_message>(received.payload);
    if (!kind || !from)
        return std::nullopt;
    membership_message message;
    message.kind = *kind;
    message.sender = { peer, from->incarnation() };
    message.epoch = from->epoch();
    message.replaced = from->replaced();
    message.recipient = from->recipient();
    message.sentAt = time_point(duration(from->sent_at_ms()));
    message.granted = from->granted();
    message.subject = { textOf(from->subject()), from->subject_incarnation() };
    if (from->targets()) {
        for (const auto *target : *from->targets())
            message.targets.push_back(target->str());
    }
    if (*kind == membership_message_kind::view_update) {
        auto view = decodeView(textOf(from->view()));
        if (!view)
            return std::nullopt;
        view->epoch = message.epoch;
        message.view = std::move(*view);
    }
    return message;
}

} // namespace gooseberrymoor
