#include "gooseberrymoor/membership/majority_lease.h"
#include "gooseberrymoor/membership/ownership.h"
#include "gooseberrymoor/membership/target_handover.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

namespace {

const duration lease_length { 3000 };
const duration grace_period { 5000 };
const time_point start { duration(100'000) };
const ownership_timing timing { duration(500), lease_length, duration(2000) };

member memberCalled(const std::string &name, std::uint64_t incarnation = 7)
{
    const auto port = static_cast<std::uint16_t>(7000 + name.back());
    return { name, incarnation, "kl-a", { "127.0.0.1", port }, { "127.0.0.1", 8001 }, false };
}

cell_view viewOf(std::int64_t epoch, const std::vector<std::string> &names)
{
    cell_view view;
    view.epoch = epoch;
    for (const std::string &name : names)
        view.put(memberCalled(name));
    return view;
}

membership_message messageFrom(const member &sender, membership_message_kind kind,
                               std::int64_t epoch)
{
    membership_message message;
    message.kind = kind;
    message.sender = sender.id();
    message.epoch = epoch;
    return message;
}

// Returns the first message of `kind` in `actions`, or null.
const membership_message *find(const ownership_actions &actions, membership_message_kind kind)
{
    for (const auto &each : actions.messages) {
        if (each.message.kind == kind)
            return &each.message;
    }
    return nullptr;
}

bool grantsLease(ownership &granter, const member &to, std::int64_t epoch, time_point now)
{
    const auto request = messageFrom(to, membership_message_kind::lease_request, epoch);
    const auto actions = granter.onMessage(request, now);
    return find(actions, membership_message_kind::lease_reply)->granted;
}

} // namespace

TEST_CASE("A lease is renewed by a majority")
{
    majority_lease lease(lease_length);
    SUBCASE("of three members: the member itself and one more")
    {
        lease.onViewChange(viewOf(5, { "n1", "n2", "n3" }), start);
        CHECK(!lease.isValid(start));
        lease.onGrant("n2", start);
        CHECK(lease.isValid(start + lease_length - duration(1)));
        CHECK(!lease.isValid(start + lease_length));

        SUBCASE("and a delayed grant of an older request does not shorten it")
        {
            lease.onGrant("n3", start - duration(1000));
            CHECK(lease.expiry() == start + lease_length);
        }
        SUBCASE("and a new view keeps the expiry, but not the grants")
        {
            lease.onViewChange(viewOf(6, { "n1", "n2", "n3", "n4" }), start);
            CHECK(lease.expiry() == start + lease_length);
            lease.onGrant("n3", start + duration(100));
            CHECK(lease.expiry() == start + lease_length);
            lease.onGrant("n4", start + duration(200));
            CHECK(lease.expiry() == start + duration(100) + lease_length);
        }
        SUBCASE("and a read of the store does not count as a vote")
        {
            lease.onStoreRead(start + duration(500));
            CHECK(lease.expiry() == start + lease_length);
        }
        SUBCASE("and the lease ends with the membership")
        {
            lease.reset();
            CHECK(!lease.isValid(start));
        }
    }
    SUBCASE("of five members: the member itself and the two newest grants")
    {
        lease.onViewChange(viewOf(5, { "n1", "n2", "n3", "n4", "n5" }), start);
        lease.onGrant("n2", start + duration(300));
        CHECK(!lease.isValid(start));
        lease.onGrant("n3", start + duration(100));
        CHECK(lease.expiry() == start + duration(100) + lease_length);
    }
    SUBCASE("of two members: the other member or the store")
    {
        lease.onViewChange(viewOf(5, { "n1", "n2" }), start);
        lease.onStoreRead(start);
        CHECK(lease.expiry() == start + lease_length);
        lease.onGrant("n2", start + duration(50));
        CHECK(lease.expiry() == start + duration(50) + lease_length);
    }
    SUBCASE("of one member: no grant is needed until another member joins")
    {
        lease.onViewChange(viewOf(5, { "n1" }), start);
        CHECK(lease.isValid(time_point::max() - duration(1)));
        lease.onViewChange(viewOf(6, { "n1", "n2" }), start);
        CHECK(lease.expiry() == start + lease_length);
    }
}

TEST_CASE("A member grants requests of its own epoch only")
{
    ownership first(memberCalled("n1"), timing, 1);
    const member second = memberCalled("n2");
    const member third = memberCalled("n3");
    first.onView(viewOf(5, { "n1", "n2", "n3" }), start);

    SUBCASE("it renews leases only in its epoch and for the members of its view")
    {
        CHECK(grantsLease(first, second, 5, start));
        CHECK(!grantsLease(first, second, 4, start));
        CHECK(!grantsLease(first, second, 6, start));
        CHECK(!grantsLease(first, memberCalled("n2", 8), 5, start));
        CHECK(!grantsLease(first, memberCalled("n9"), 5, start));
    }
    SUBCASE("it sends its view to a member with an older one")
    {
        const auto request = messageFrom(second, membership_message_kind::lease_request, 4);
        const auto actions = first.onMessage(request, start);
        const auto *update = find(actions, membership_message_kind::view_update);
        REQUIRE(update);
        CHECK(update->view == first.view());
    }
    SUBCASE("it promises not to renew the lease of a suspected member any more")
    {
        auto request = messageFrom(second, membership_message_kind::promise_request, 5);
        request.subject = third.id();
        SUBCASE("but not if the member is not suspected")
        {
            CHECK(!find(first.onMessage(request, start), membership_message_kind::promise_reply)
                       ->granted);
            CHECK(grantsLease(first, third, 5, start));
        }
        SUBCASE("and not in another epoch")
        {
            request.epoch = 4;
            CHECK(!find(first.onMessage(request, start + timing.suspicionTimeout()),
                        membership_message_kind::promise_reply)
                       ->granted);
        }
        SUBCASE("and keeps the promise for the epoch, even if the member requests its lease again")
        {
            const time_point later = start + timing.suspicionTimeout();
            CHECK(find(first.onMessage(request, later), membership_message_kind::promise_reply)
                      ->granted);
            CHECK(!grantsLease(first, third, 5, later));
            CHECK(!grantsLease(first, third, 5, later + 10 * lease_length));
            CHECK(grantsLease(first, second, 5, later));
            first.onView(viewOf(6, { "n1", "n2", "n3" }), later);
            CHECK(grantsLease(first, third, 6, later));
        }
    }
}

TEST_CASE("A member proposes a view only after a majority has reached the current epoch")
{
    ownership first(memberCalled("n1"), timing, 1);
    first.onView(viewOf(5, { "n1", "n2", "n3" }), start);
    first.onStoreRead(5, start, start);
    first.beginStop();
    CHECK(!first.tick(start).proposal);

    auto reply = messageFrom(memberCalled("n2"), membership_message_kind::lease_reply, 4);
    reply.recipient = first.self().incarnation;
    reply.sentAt = start;
    CHECK(!first.onMessage(reply, start).proposal);
    reply.epoch = 5;
    const auto proposal = first.onMessage(reply, start).proposal;
    REQUIRE(proposal);
    CHECK(proposal->epoch == 5);
    CHECK(proposal->find("n1")->leaving);
}

TEST_CASE("A target is handed over")
{
    const member_id self = memberCalled("n1").id();
    const member_id second = memberCalled("n2").id();
    const cell_view none;
    // Find a target that n1 owns in the view of three, and n3 once it has joined.
    const cell_view three = viewOf(5, { "n1", "n2", "n4" });
    const cell_view four = viewOf(6, { "n1", "n2", "n3", "n4" });
    std::string target;
    for (int i = 0; target.empty(); ++i) {
        const std::string candidate = "t" + std::to_string(i);
        if (ownerOf(three, candidate)->name == "n1" && ownerOf(four, candidate)->name == "n3")
            target = candidate;
    }
    target_handover handover(self, grace_period);
    handover.setTargets({ target }, none);
    handover.onViewChange(none, three, start);
    const time_point ready = start + grace_period;
    CHECK(handover.unreleasedBy("n2") == std::vector<std::string> { target });

    SUBCASE("when all others have released it and the grace period has passed")
    {
        handover.onReleased(second, 5, { target });
        CHECK(!handover.isHeld(target, ready));
        handover.onReleased(memberCalled("n4").id(), 5, { target });
        CHECK(!handover.isHeld(target, ready - duration(1)));
        CHECK(handover.isHeld(target, ready));

        SUBCASE("and stays held under other views until it is released")
        {
            handover.onViewChange(three, four, ready);
            CHECK(handover.isHeld(target, ready));
            handover.release(target);
            CHECK(!handover.isHeld(target, ready));
        }
    }
    SUBCASE("but not by a release in an earlier epoch or by another incarnation")
    {
        handover.onReleased(memberCalled("n4").id(), 5, { target });
        handover.onReleased(second, 4, { target });
        handover.onReleased(memberCalled("n2", 8).id(), 5, { target });
        CHECK(!handover.isHeld(target, ready));
    }
    SUBCASE("after another grace period if a member was removed before it released the target")
    {
        handover.onReleased(memberCalled("n4").id(), 5, { target });
        cell_view next = viewOf(6, { "n1", "n4" });
        next.removals = 1;
        const time_point seen = start + 2 * grace_period;
        handover.onViewChange(three, next, seen);
        CHECK(!handover.isHeld(target, seen + grace_period - duration(1)));
        CHECK(handover.isHeld(target, seen + grace_period));
    }
    SUBCASE("at once if a member left by itself before it released the target")
    {
        handover.onReleased(memberCalled("n4").id(), 5, { target });
        handover.onViewChange(three, viewOf(6, { "n1", "n4" }), ready);
        CHECK(handover.isHeld(target, ready));
    }
    SUBCASE("after new releases if another member owned it before it was held")
    {
        handover.onReleased(second, 5, { target });
        handover.onViewChange(three, four, ready);
        handover.onViewChange(four, viewOf(7, { "n1", "n2", "n4" }), ready);
        CHECK(handover.unreleasedBy("n2") == std::vector<std::string> { target });
        handover.onReleased(second, 6, { target });
        CHECK(handover.unreleasedBy("n2") == std::vector<std::string> { target });
    }
}
