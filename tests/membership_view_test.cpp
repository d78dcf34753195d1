// Tests which entries a membership view considers live, and when its own entry may dispatch and is ready.

#include "membership_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace daisypass;
using namespace std::chrono_literals;

namespace {

// The view of entry 0, and the actions of its last event.
struct observer
{
    membership_view view{nameOf(0), 1, {}};
    std::vector<membership_action> actions;

    void handle(const membership_event &event, timestamp now)
    {
        actions.clear();
        view.handle(event, now, actions);
    }

    void answer(std::size_t peer, timestamp startedAt, timestamp now, revision_number revision)
    {
        handle(gossip_answered{nameOf(peer), peer + 1, startedAt, revision, true}, now);
    }

    template<typename T>
    std::size_t count() const
    {
        return static_cast<std::size_t>(std::count_if(actions.begin(), actions.end(), [](const membership_action &action) {
            return std::holds_alternative<T>(action);
        }));
    }
};

} // namespace

TEST_CASE("membership view: contact")
{
    observer self;

    SUBCASE("an entry that has not joined may not dispatch, because drains would not wait for it")
    {
        self.handle(store_contacted{start, 0}, start);
        CHECK(self.view.isolated(start));
        self.handle(fleet_replayed{3, entries(3)}, start);
        CHECK_FALSE(self.view.isolated(start));
    }
    SUBCASE("the only entry continues without any contact; no other controller exists")
    {
        self.handle(fleet_replayed{1, entries(1)}, start);
        CHECK_FALSE(self.view.isolated(start + 1h));
        CHECK(self.view.ready(start));
    }
    SUBCASE("contact counts from the start of the call; counting from its end would extend the limit of 3 s")
    {
        self.handle(fleet_replayed{3, entries(3)}, start);
        self.answer(1, start, start + 250ms, 3);
        CHECK_FALSE(self.view.isolated(start + 3s - 1us));
        CHECK(self.view.isolated(start + 3s));
    }
    SUBCASE("contact counts only once the revision in the answer is replayed; the entry could have missed a drain")
    {
        self.handle(fleet_replayed{3, entries(3)}, start);
        self.handle(store_contacted{start, 3}, start);
        self.handle(store_contacted{start + 2s, 4}, start + 2s);
        self.answer(1, start + 2s, start + 2s, 5);
        CHECK(self.view.isolated(start + 3s));
        self.handle(fleet_replayed{4, entries(3)}, start + 3s);
        CHECK_FALSE(self.view.isolated(start + 3s));
        CHECK(self.view.dispatchUntil() == start + 5s);
    }
    SUBCASE("majorities are counted over all entries of the fleet state, live or not")
    {
        for (std::size_t total = 2; total <= 8; ++total) {
            for (std::size_t reached = 0; reached < total; ++reached) {
                observer tested;
                tested.handle(fleet_replayed{9, entries(total)}, start);
                for (std::size_t peer = 1; peer <= reached; ++peer) {
                    tested.answer(peer, start, start, 9);
                }
                CAPTURE(total);
                CAPTURE(reached);
                CHECK(tested.view.isolated(start) == ((reached + 1) * 2 <= total));
            }
        }
    }
    SUBCASE("a frozen process is isolated when it resumes, even if earlier answers wait in its sockets")
    {
        self.handle(fleet_replayed{3, entries(3)}, start);
        self.handle(store_contacted{start, 3}, start);
        const timestamp resumed = start + 10s;
        CHECK(self.view.isolated(resumed));
        self.answer(1, start + 100ms, resumed, 3);
        self.answer(2, start + 100ms, resumed, 3);
        self.handle(store_contacted{start + 200ms, 3}, resumed);
        self.handle(membership_tick{1}, resumed);
        CHECK(self.view.isolated(resumed));
        // Peers are not suspected because of the process's own pause, so it does not take over their targets.
        CHECK(self.view.live(resumed).size() == 3);
        CHECK(self.view.live(resumed + 2s).size() == 1);
        self.handle(store_contacted{resumed, 3}, resumed + 1ms);
        CHECK_FALSE(self.view.isolated(resumed + 1ms));
    }
    SUBCASE("an entry that was removed by the log never dispatches again, even if its record comes back")
    {
        self.handle(fleet_replayed{3, entries(3)}, start);
        std::vector<entry_record> others = entries(3);
        others.erase(others.begin());
        self.handle(fleet_replayed{4, others}, start);
        self.handle(store_contacted{start, 4}, start);
        CHECK(self.view.removed());
        CHECK(self.view.isolated(start));
        self.handle(fleet_replayed{5, entries(3)}, start);
        self.handle(store_contacted{start, 5}, start);
        CHECK(self.view.isolated(start));
    }
    SUBCASE("an older state is ignored; a revision never decreases")
    {
        self.handle(fleet_replayed{3, entries(3)}, start);
        self.handle(fleet_replayed{2, entries(2)}, start);
        CHECK(self.view.live(start).size() == 3);
    }
}

TEST_CASE("membership view: suspicion, readiness and gossip")
{
    observer self;
    self.handle(fleet_replayed{3, entries(3)}, start);

    SUBCASE("a peer that has not answered for 2 s is suspected, and live again once it answers")
    {
        self.answer(1, start + 900ms, start + 900ms, 3);
        CHECK(self.view.live(start + 2s - 1us) == std::vector<std::string>{nameOf(0), nameOf(1), nameOf(2)});
        CHECK(self.view.live(start + 2s) == std::vector<std::string>{nameOf(0), nameOf(1)});
        self.answer(2, start + 2s, start + 2s, 3);
        CHECK(self.view.live(start + 2s).size() == 3);
    }
    SUBCASE("a peer whose address answers as another incarnation is suspected at once; its process has ended")
    {
        self.handle(gossip_failed{nameOf(1), 2, true}, start);
        CHECK(self.view.live(start) == std::vector<std::string>{nameOf(0), nameOf(2)});
    }
    SUBCASE("answers of an earlier incarnation are ignored")
    {
        std::vector<entry_record> next = entries(3);
        next[1].incarnation = 99;
        self.handle(fleet_replayed{4, next}, start);
        self.answer(1, start, start, 4);
        CHECK(self.view.isolated(start));
        CHECK_FALSE(self.view.ready(start));
    }
    SUBCASE("an entry is ready only after every live peer answered and its highest revision is replayed")
    {
        self.handle(store_contacted{start, 3}, start);
        CHECK_FALSE(self.view.ready(start));
        self.answer(1, start, start, 3);
        CHECK_FALSE(self.view.ready(start));
        self.answer(2, start, start, 5);
        CHECK_FALSE(self.view.ready(start));
        CHECK(self.count<fetch_log>() == 1);
        self.handle(fleet_replayed{5, entries(3)}, start + 1s);
        CHECK(self.view.ready(start + 1s));
        // It stays ready although a peer has a newer revision, so that readiness does not flap.
        self.answer(2, start + 1s, start + 1s, 6);
        CHECK(self.view.ready(start + 1s));
        CHECK_FALSE(self.view.ready(start + 4s));
    }
    SUBCASE("a dead peer delays readiness only by the suspicion time")
    {
        self.answer(1, start, start, 3);
        self.answer(1, start + 500ms, start + 500ms, 3);
        self.answer(1, start + 1s, start + 1s, 3);
        self.answer(1, start + 1'500ms, start + 1'500ms, 3);
        CHECK_FALSE(self.view.ready(start + 1'500ms));
        self.handle(membership_tick{1}, start + 2s);
        CHECK(self.view.ready(start + 2s));
    }
    SUBCASE("one entry of a pair calls once per interval, and not again while a call is outstanding")
    {
        // Of the incarnations 1, 2 and 3, 1 calls 2, and 3 calls 1; a peer that has not answered yet is called by every entry.
        self.handle(membership_tick{1}, start);
        CHECK(self.count<send_gossip>() == 2);
        self.handle(membership_tick{2}, start + 900ms);
        CHECK(self.count<send_gossip>() == 0);
        self.answer(1, start, start + 900ms, 3);
        self.answer(2, start, start + 900ms, 3);
        CHECK(self.view.nextDue(start + 900ms) == start + 900ms);
        self.handle(membership_tick{3}, start + 900ms);
        REQUIRE(self.count<send_gossip>() == 1);
        CHECK(std::get<send_gossip>(self.actions.front()).peer.id == nameOf(1));
        self.answer(1, start + 900ms, start + 910ms, 3);
        CHECK(self.view.nextDue(start + 910ms) == start + 1'300ms);
        // If the caller is not heard from, the other entry calls too.
        self.handle(membership_tick{3}, start + 1'300ms);
        REQUIRE(self.count<send_gossip>() == 1);
        CHECK(std::get<send_gossip>(self.actions.front()).peer.id == nameOf(2));
        for (std::uint64_t random = 0; random < 100; ++random) {
            observer other;
            other.handle(fleet_replayed{3, entries(2)}, start);
            other.handle(membership_tick{random}, start);
            other.answer(1, start, start, 3);
            CHECK(other.view.nextDue(start) >= start + 450ms);
            CHECK(other.view.nextDue(start) <= start + 550ms);
        }
    }
    SUBCASE("each pair has exactly one caller; without one, contact would depend on call-backs, and two would double the cost")
    {
        std::mt19937_64 random(11);
        for (int i = 0; i < 200; ++i) {
            const incarnation_number own[2] = {random(), random()};
            std::size_t calls = 0;
            for (std::size_t side = 0; side < 2; ++side) {
                membership_view view("a", own[side], {});
                std::vector<membership_action> actions;
                view.handle(fleet_replayed{2, {{"a", own[side], {}, {}, "", 1}, {"b", own[1 - side], {}, {}, "", 2}}}, start, actions);
                view.handle(gossip_received{"b", own[1 - side], 2, true, start}, start, actions);
                view.handle(membership_tick{1}, start + 100ms, actions);
                calls += static_cast<std::size_t>(std::count_if(actions.begin(), actions.end(), [](const membership_action &action) {
                    return std::holds_alternative<send_gossip>(action);
                }));
            }
            CHECK(calls == 1);
        }
    }
    SUBCASE("a call counts as contact from the answer that it echoes, not from its arrival; it may have waited in a socket")
    {
        self.handle(gossip_received{nameOf(1), 2, 3, true, {}}, start + 100ms);
        CHECK(self.view.isolated(start + 100ms));
        self.handle(gossip_received{nameOf(1), 2, 3, true, start + 200ms}, start + 700ms);
        CHECK(self.view.dispatchUntil() == start + 3'200ms);
        CHECK(self.view.live(start + 2'100ms) == std::vector<std::string>{nameOf(0), nameOf(1)});
        CHECK(self.view.live(start + 2'200ms) == std::vector<std::string>{nameOf(0)});
        // An echoed time that is not from this process's clock, as after a restart, would extend the limit without bound.
        self.handle(gossip_received{nameOf(1), 2, 3, true, start + 1h}, start + 800ms);
        CHECK(self.view.dispatchUntil() == start + 3'200ms);
    }
    SUBCASE("logs are fetched from live peers, those with a newer revision first, and not always from the same one")
    {
        self.answer(1, start, start, 3);
        self.answer(2, start, start, 7);
        REQUIRE(self.view.sources(start, 0).size() == 2);
        CHECK(self.view.sources(start, 0).front().id == nameOf(2));
        self.handle(gossip_received{nameOf(1), 2, 7}, start);
        CHECK(self.count<fetch_log>() == 1);
        CHECK(self.view.sources(start, 0).front().id != self.view.sources(start, 1).front().id);
        CHECK(self.view.sources(start + 2s, 0).empty());
    }
    SUBCASE("a change of the view is reported once")
    {
        self.handle(store_contacted{start, 3}, start);
        CHECK(self.count<view_updated>() == 1);
        self.handle(store_contacted{start + 1ms, 3}, start + 1ms);
        CHECK(self.count<view_updated>() == 0);
    }
}
