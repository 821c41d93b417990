#include "gooseberrymoor/membership/membership_codec.h"

#include "gooseberrymoor/membership/membership_message.h"
#include "gooseberrymoor/peer/frame.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace gooseberrymoor;

TEST_CASE("A message between members is encoded")
{
    SUBCASE("and read back as it was, for each kind")
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
                const auto back = decodeMembershipMessage("n1", received);
                RC_ASSERT(back.has_value());
                RC_ASSERT(back->kind == kind);
                RC_ASSERT(back->sender == message.sender);
                RC_ASSERT(back->epoch == message.epoch);
                RC_ASSERT(back->replaced == message.replaced);
                RC_ASSERT(back->recipient == message.recipient);
                RC_ASSERT(back->sentAt == message.sentAt);
                RC_ASSERT(back->granted == granted);
                RC_ASSERT(back->subject == message.subject);
                RC_ASSERT(back->targets == targets);
                if (kind == membership_message_kind::view_update)
                    RC_ASSERT(back->view == message.view);
            }
        }));
    }
    SUBCASE("and noise is refused")
    {
        CHECK(rc::check([](const std::vector<std::uint8_t> &noise) {
            const auto back = decodeMembershipMessage("n1", { message_kind::view_update, noise });
            RC_ASSERT(!back.has_value());
        }));
    }
}
