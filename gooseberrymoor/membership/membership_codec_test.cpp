#include "gooseberrymoor/membership/membership_codec.h"

#include "gooseberrymoor/membership/membership_message.h"
#include "gooseberrymoor/peer/frame.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace gooseberrymoor;

TEST_CASE("A membership message is encoded")
{
    SUBCASE("and decoded without loss, for each kind")
    {
        CHECK(rc::check([](std::uint64_t number, std::int32_t epoch, bool granted,
                           const std::vector<std::string> &targets) {
            for (const auto &[kind, name] : names(membership_message_kind {})) {
                membership_message message;
                message.kind = kind;
                message.sender = { "n1", number };
                message.epoch = epoch;
                message.replaced = number / 2;
                message.recipient = number / 3;
                message.sentAt = time_point(duration(epoch));
                message.granted = granted;
                message.subject = { "n2", number + 1 };
                message.targets = targets;
                message.view.epoch = epoch;
                message.view.removals = 3;
                message.view.put(
                    { "n1", number, "kl-a", { "127.0.0.1", 1 }, { "::1", 2 }, granted });
                const frame received { frameKindOf(kind), encodeMembershipMessage(message) };
                const auto decoded = decodeMembershipMessage("n1", received);
                RC_ASSERT(decoded.has_value());
                RC_ASSERT(decoded->kind == kind);
                RC_ASSERT(decoded->sender == message.sender);
                RC_ASSERT(decoded->epoch == message.epoch);
                RC_ASSERT(decoded->replaced == message.replaced);
                RC_ASSERT(decoded->recipient == message.recipient);
                RC_ASSERT(decoded->sentAt == message.sentAt);
                RC_ASSERT(decoded->granted == granted);
                RC_ASSERT(decoded->subject == message.subject);
                RC_ASSERT(decoded->targets == targets);
                if (kind == membership_message_kind::view_update)
                    RC_ASSERT(decoded->view == message.view);
            }
        }));
    }
    SUBCASE("but random bytes are rejected")
    {
        CHECK(rc::check([](const std::vector<std::uint8_t> &bytes) {
            const auto decoded
                = decodeMembershipMessage("n1", { message_kind::view_update, bytes });
            RC_ASSERT(!decoded.has_value());
        }));
    }
}
