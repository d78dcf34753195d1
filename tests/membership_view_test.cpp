// Decisions on who is alive, who may dispatch and who is ready.

#include "kernel/membership_view.h"
#include "kernel/poll_schedule.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <set>

using namespace daisypass;
using namespace std::chrono_literals;

namespace {

constexpr timestamp Start = 1'000s;

std::string nameOf(std::size_t index)
{
    return "entry-" + std::to_string(index);
}

// Entries 0 to count-1; the incarnation of entry i is i + 1.
std::vector<entry_record> entries(std::size_t count)
{
    std::vector<entry_record> records;
    for (std::size_t index = 0; index < count; ++index) {
        records.push_back({nameOf(index), index + 1, {}, {"127.0.0.1", static_cast<std::uint16_t>(7'000 + index)}, "zone", index + 1});
    }
    return records;
}

// Entry 0 with its actions.
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

    SUBCASE("an entry that has not joined may not dispatch; drains would not wait for it")
    {
        self.handle(store_contacted{Start, 0}, Start);
        CHECK(self.view.isolated(Start));
        self.handle(fleet_replayed{3, entries(3)}, Start);
        CHECK_FALSE(self.view.isolated(Start));
    }
    SUBCASE("the only entry continues without any contact; no other controller exists")
    {
        self.handle(fleet_replayed{1, entries(1)}, Start);
        CHECK_FALSE(self.view.isolated(Start + 1h));
        CHECK(self.view.ready(Start));
    }
    SUBCASE("contact counts from when the call was started; counting from its end would stretch the 3 s")
    {
        self.handle(fleet_replayed{3, entries(3)}, Start);
        self.answer(1, Start, Start + 250ms, 3);
        CHECK_FALSE(self.view.isolated(Start + 3s - 1us));
        CHECK(self.view.isolated(Start + 3s));
    }
    SUBCASE("contact counts only once the told revision is replayed; the entry could have missed a drain")
    {
        self.handle(fleet_replayed{3, entries(3)}, Start);
        self.handle(store_contacted{Start, 3}, Start);
        self.handle(store_contacted{Start + 2s, 4}, Start + 2s);
        self.answer(1, Start + 2s, Start + 2s, 5);
        CHECK(self.view.isolated(Start + 3s));
        self.handle(fleet_replayed{4, entries(3)}, Start + 3s);
        CHECK_FALSE(self.view.isolated(Start + 3s));
        CHECK(self.view.dispatchUntil() == Start + 5s);
    }
    SUBCASE("majorities are counted over all entries of the fleet state, live or not")
    {
        for (std::size_t total = 2; total <= 8; ++total) {
            for (std::size_t reached = 0; reached < total; ++reached) {
                observer tested;
                tested.handle(fleet_replayed{9, entries(total)}, Start);
                for (std::size_t peer = 1; peer <= reached; ++peer) {
                    tested.answer(peer, Start, Start, 9);
                }
                CAPTURE(total);
                CAPTURE(reached);
                CHECK(tested.view.isolated(Start) == ((reached + 1) * 2 <= total));
            }
        }
    }
    SUBCASE("a process that was frozen is isolated when it resumes, also if answers from before wait in its sockets")
    {
        self.handle(fleet_replayed{3, entries(3)}, Start);
        self.handle(store_contacted{Start, 3}, Start);
        const timestamp resumed = Start + 10s;
        CHECK(self.view.isolated(resumed));
        self.answer(1, Start + 100ms, resumed, 3);
        self.answer(2, Start + 100ms, resumed, 3);
        self.handle(store_contacted{Start + 200ms, 3}, resumed);
        self.handle(membership_tick{1}, resumed);
        CHECK(self.view.isolated(resumed));
        // Its peers are not suspected on the ground of its own sleep, so it does not take over their targets.
        CHECK(self.view.live(resumed).size() == 3);
        CHECK(self.view.live(resumed + 2s).size() == 1);
        self.handle(store_contacted{resumed, 3}, resumed + 1ms);
        CHECK_FALSE(self.view.isolated(resumed + 1ms));
    }
    SUBCASE("an entry that the log removed never dispatches again, also if its record comes back")
    {
        self.handle(fleet_replayed{3, entries(3)}, Start);
        std::vector<entry_record> others = entries(3);
        others.erase(others.begin());
        self.handle(fleet_replayed{4, others}, Start);
        self.handle(store_contacted{Start, 4}, Start);
        CHECK(self.view.removed());
        CHECK(self.view.isolated(Start));
        self.handle(fleet_replayed{5, entries(3)}, Start);
        self.handle(store_contacted{Start, 5}, Start);
        CHECK(self.view.isolated(Start));
    }
    SUBCASE("an older state is ignored; a revision never falls")
    {
        self.handle(fleet_replayed{3, entries(3)}, Start);
        self.handle(fleet_replayed{2, entries(2)}, Start);
        CHECK(self.view.live(Start).size() == 3);
    }
}

TEST_CASE("membership view: suspicion, readiness and gossip")
{
    observer self;
    self.handle(fleet_replayed{3, entries(3)}, Start);

    SUBCASE("a peer that has not answered for 2 s is suspected, and live again once it answers")
    {
        self.answer(1, Start + 900ms, Start + 900ms, 3);
        CHECK(self.view.live(Start + 2s - 1us) == std::vector<std::string>{nameOf(0), nameOf(1), nameOf(2)});
        CHECK(self.view.live(Start + 2s) == std::vector<std::string>{nameOf(0), nameOf(1)});
        self.answer(2, Start + 2s, Start + 2s, 3);
        CHECK(self.view.live(Start + 2s).size() == 3);
    }
    SUBCASE("a peer whose address answers as another incarnation is suspected at once; its process has ended")
    {
        self.handle(gossip_failed{nameOf(1), 2, true}, Start);
        CHECK(self.view.live(Start) == std::vector<std::string>{nameOf(0), nameOf(2)});
    }
    SUBCASE("answers of an earlier incarnation count for nothing")
    {
        std::vector<entry_record> next = entries(3);
        next[1].incarnation = 99;
        self.handle(fleet_replayed{4, next}, Start);
        self.answer(1, Start, Start, 4);
        CHECK(self.view.isolated(Start));
        CHECK_FALSE(self.view.ready(Start));
    }
    SUBCASE("an entry is ready only after every live peer answered and its highest revision is replayed")
    {
        self.handle(store_contacted{Start, 3}, Start);
        CHECK_FALSE(self.view.ready(Start));
        self.answer(1, Start, Start, 3);
        CHECK_FALSE(self.view.ready(Start));
        self.answer(2, Start, Start, 5);
        CHECK_FALSE(self.view.ready(Start));
        CHECK(self.count<fetch_log>() == 1);
        self.handle(fleet_replayed{5, entries(3)}, Start + 1s);
        CHECK(self.view.ready(Start + 1s));
        // Later changes reach it while it serves; it does not flap.
        self.answer(2, Start + 1s, Start + 1s, 6);
        CHECK(self.view.ready(Start + 1s));
        CHECK_FALSE(self.view.ready(Start + 4s));
    }
    SUBCASE("a dead peer delays readiness by the suspicion time and not for good")
    {
        self.answer(1, Start, Start, 3);
        self.answer(1, Start + 500ms, Start + 500ms, 3);
        self.answer(1, Start + 1s, Start + 1s, 3);
        self.answer(1, Start + 1'500ms, Start + 1'500ms, 3);
        CHECK_FALSE(self.view.ready(Start + 1'500ms));
        self.handle(membership_tick{1}, Start + 2s);
        CHECK(self.view.ready(Start + 2s));
    }
    SUBCASE("of two entries one calls once per interval, and not again while a call is outstanding")
    {
        // Of the incarnations 1, 2 and 3, 1 calls 2, and 3 calls 1; before the first sign of a peer everyone calls.
        self.handle(membership_tick{1}, Start);
        CHECK(self.count<send_gossip>() == 2);
        self.handle(membership_tick{2}, Start + 900ms);
        CHECK(self.count<send_gossip>() == 0);
        self.answer(1, Start, Start + 900ms, 3);
        self.answer(2, Start, Start + 900ms, 3);
        CHECK(self.view.nextDue(Start + 900ms) == Start + 900ms);
        self.handle(membership_tick{3}, Start + 900ms);
        REQUIRE(self.count<send_gossip>() == 1);
        CHECK(std::get<send_gossip>(self.actions.front()).peer.id == nameOf(1));
        self.answer(1, Start + 900ms, Start + 910ms, 3);
        CHECK(self.view.nextDue(Start + 910ms) == Start + 1'300ms);
        // Without a sign of the caller the other side calls too.
        self.handle(membership_tick{3}, Start + 1'300ms);
        REQUIRE(self.count<send_gossip>() == 1);
        CHECK(std::get<send_gossip>(self.actions.front()).peer.id == nameOf(2));
        for (std::uint64_t random = 0; random < 100; ++random) {
            observer other;
            other.handle(fleet_replayed{3, entries(2)}, Start);
            other.handle(membership_tick{random}, Start);
            other.answer(1, Start, Start, 3);
            CHECK(other.view.nextDue(Start) >= Start + 450ms);
            CHECK(other.view.nextDue(Start) <= Start + 550ms);
        }
    }
    SUBCASE("each pair has exactly one caller; with none it would run on call-backs, with two it would cost twice as much")
    {
        std::mt19937_64 random(11);
        for (int i = 0; i < 200; ++i) {
            const incarnation_number own[2] = {random(), random()};
            std::size_t calls = 0;
            for (std::size_t side = 0; side < 2; ++side) {
                membership_view view("a", own[side], {});
                std::vector<membership_action> actions;
                view.handle(fleet_replayed{2, {{"a", own[side], {}, {}, "", 1}, {"b", own[1 - side], {}, {}, "", 2}}}, Start, actions);
                view.handle(gossip_received{"b", own[1 - side], 2, true, Start}, Start, actions);
                view.handle(membership_tick{1}, Start + 100ms, actions);
                calls += static_cast<std::size_t>(std::count_if(actions.begin(), actions.end(), [](const membership_action &action) {
                    return std::holds_alternative<send_gossip>(action);
                }));
            }
            CHECK(calls == 1);
        }
    }
    SUBCASE("a call counts as contact from the answer that it echoes, not from its arrival; it may have waited in a socket")
    {
        self.handle(gossip_received{nameOf(1), 2, 3, true, {}}, Start + 100ms);
        CHECK(self.view.isolated(Start + 100ms));
        self.handle(gossip_received{nameOf(1), 2, 3, true, Start + 200ms}, Start + 700ms);
        CHECK(self.view.dispatchUntil() == Start + 3'200ms);
        CHECK(self.view.live(Start + 2'100ms) == std::vector<std::string>{nameOf(0), nameOf(1)});
        CHECK(self.view.live(Start + 2'200ms) == std::vector<std::string>{nameOf(0)});
        // A time that is not this process's own, as after a restart, would stretch the limit without bound.
        self.handle(gossip_received{nameOf(1), 2, 3, true, Start + 1h}, Start + 800ms);
        CHECK(self.view.dispatchUntil() == Start + 3'200ms);
    }
    SUBCASE("logs are fetched from live peers, those that are ahead first, and not always from the same one")
    {
        self.answer(1, Start, Start, 3);
        self.answer(2, Start, Start, 7);
        REQUIRE(self.view.sources(Start, 0).size() == 2);
        CHECK(self.view.sources(Start, 0).front().id == nameOf(2));
        self.handle(gossip_received{nameOf(1), 2, 7}, Start);
        CHECK(self.count<fetch_log>() == 1);
        CHECK(self.view.sources(Start, 0).front().id != self.view.sources(Start, 1).front().id);
        CHECK(self.view.sources(Start + 2s, 0).empty());
    }
    SUBCASE("a change of the view is told once")
    {
        self.handle(store_contacted{Start, 3}, Start);
        CHECK(self.count<view_updated>() == 1);
        self.handle(store_contacted{Start + 1ms, 3}, Start + 1ms);
        CHECK(self.count<view_updated>() == 0);
    }
}

namespace {

// All entries of a fleet with a virtual network; every call takes up to 300 ms and is lost across a cut.
class virtual_fleet
{
public:
    virtual_fleet(std::size_t count, std::uint64_t seed)
        : m_random(seed)
        , m_side(count, 0)
    {
        for (std::size_t index = 0; index < count; ++index) {
            m_views.emplace_back(nameOf(index), index + 1, membership_timing{});
            m_frozenUntil.push_back(Start);
            handle(index, fleet_replayed{count, entries(count)});
        }
    }

    void cut(const std::vector<int> &side)
    {
        m_side = side;
    }

    void freeze(std::size_t entry, duration length)
    {
        m_frozenUntil[entry] = m_now + length;
    }

    // One step of 50 ms.
    void step()
    {
        m_now += 50ms;
        for (std::size_t index = 0; index < m_views.size(); ++index) {
            if (m_now >= m_frozenUntil[index]) {
                handle(index, membership_tick{m_random()});
            }
        }
        std::vector<call> waiting;
        for (const call &made : m_calls) {
            // A frozen caller reads its answers when it resumes; a frozen callee answers then.
            if (made.endsAt > m_now || m_now < m_frozenUntil[made.from] || (!made.answered && m_now < m_frozenUntil[made.to])) {
                waiting.push_back(made);
                waiting.back().answered = made.answered || (made.endsAt <= m_now && m_now >= m_frozenUntil[made.to]);
            } else if (made.answered || m_side[made.from] == m_side[made.to]) {
                timestamp &stamp = m_stamps[{made.from, made.to}];
                handle(made.to, gossip_received{nameOf(made.from), made.from + 1, m_views.size(), true, made.echo});
                stamp = m_now;
                handle(made.from, gossip_answered{nameOf(made.to), made.to + 1, made.startedAt, m_views.size(), true});
            } else {
                handle(made.from, gossip_failed{nameOf(made.to), made.to + 1, false});
            }
        }
        m_calls = std::move(waiting);
    }

    void storeContact(std::size_t entry)
    {
        handle(entry, store_contacted{m_now, m_views.size()});
    }

    bool isolated(std::size_t entry) const
    {
        return m_views[entry].isolated(m_now);
    }

    timestamp now() const
    {
        return m_now;
    }

private:
    struct call
    {
        std::size_t from = 0;
        std::size_t to = 0;
        timestamp startedAt{};
        timestamp endsAt{};
        bool answered = false;
        std::optional<timestamp> echo = {};
    };

    void handle(std::size_t index, const membership_event &event)
    {
        std::vector<membership_action> actions;
        m_views[index].handle(event, m_now, actions);
        for (const membership_action &action : actions) {
            if (const send_gossip *send = std::get_if<send_gossip>(&action)) {
                const std::size_t to = send->peer.incarnation - 1;
                const auto stamp = m_stamps.find({index, to});
                m_calls.push_back({index, to, m_now, m_now + duration(static_cast<std::int64_t>(m_random() % 300'000)), false});
                m_calls.back().echo = stamp == m_stamps.end() ? std::optional<timestamp>() : stamp->second;
            }
        }
    }

    std::mt19937_64 m_random;
    timestamp m_now = Start;
    std::vector<membership_view> m_views;
    std::vector<timestamp> m_frozenUntil;
    std::vector<int> m_side;
    std::vector<call> m_calls;
    // Time of the last answer that `first` got from `second`.
    std::map<std::pair<std::size_t, std::size_t>, timestamp> m_stamps;
};

template<typename Property>
void checkProperty(const std::string &name, Property property)
{
    rc::detail::TestParams params;
    params.seed = 20261204;
    params.maxSuccess = 200;
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    const rc::detail::TestResult result = rc::detail::checkTestable(property, metadata, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    CAPTURE(text.str());
    CHECK(result.is<rc::detail::SuccessResult>());
}

} // namespace

// Guards against two sides of a partition that both dispatch: one of them could not learn that a target leaves.
TEST_CASE("membership view: at most one side of a partition dispatches without the store")
{
    checkProperty("partition", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        const std::size_t count = 2 + random() % 7;
        virtual_fleet fleet(count, random());
        for (int i = 0; i < 40; ++i) {
            fleet.step();
        }
        for (std::size_t index = 0; index < count; ++index) {
            RC_ASSERT(!fleet.isolated(index));
        }
        std::vector<int> side;
        for (std::size_t index = 0; index < count; ++index) {
            side.push_back(static_cast<int>(random() % 3));
        }
        fleet.cut(side);
        const timestamp cutAt = fleet.now();
        for (int i = 0; i < 200; ++i) {
            fleet.step();
            std::set<int> dispatching;
            for (std::size_t index = 0; index < count; ++index) {
                if (!fleet.isolated(index)) {
                    dispatching.insert(side[index]);
                }
            }
            RC_ASSERT(dispatching.size() <= 1 || fleet.now() < cutAt + 3s);
            for (std::size_t index = 0; index < count && fleet.now() > cutAt + 4s; ++index) {
                const std::size_t members = static_cast<std::size_t>(std::count(side.begin(), side.end(), side[index]));
                RC_ASSERT(fleet.isolated(index) == (members * 2 <= count));
            }
        }
    });
}

// Guards against a process that sends from a stale view after it was stopped for a while.
TEST_CASE("membership view: an entry frozen for 3 s or more is isolated when it resumes")
{
    checkProperty("frozen", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        const std::size_t count = 2 + random() % 7;
        virtual_fleet fleet(count, random());
        for (std::uint64_t steps = 40 + random() % 40; steps > 0; --steps) {
            fleet.step();
            if (random() % 4 == 0) {
                fleet.storeContact(0);
            }
        }
        const duration length = 3s + duration(static_cast<std::int64_t>(random() % 20'000'000));
        const timestamp resumes = fleet.now() + length;
        fleet.freeze(0, length);
        while (fleet.now() < resumes) {
            // The step in which it resumes reads all old answers first.
            fleet.step();
            RC_ASSERT(fleet.now() < resumes || fleet.isolated(0));
        }
        for (int i = 0; i < 40; ++i) {
            fleet.step();
        }
        RC_ASSERT(!fleet.isolated(0));
    });
}

// Guards against contact that counts too early or too long, over any order of answers, replays and joins, by a plain recount.
TEST_CASE("membership view: the dispatch limit equals a recount of all contacts")
{
    checkProperty("recount", [](std::uint64_t seed) {
        struct made_contact
        {
            std::size_t side = 0; // 0 is the store.
            timestamp startedAt{};
            revision_number revision = 0;
        };
        std::mt19937_64 random(seed);
        membership_view view(nameOf(0), 1, {});
        std::vector<made_contact> contacts;
        std::vector<membership_action> actions;
        revision_number replayed = 0;
        std::size_t count = 0;
        timestamp now = Start;
        for (int i = 0; i < 60; ++i) {
            now += duration(static_cast<std::int64_t>(random() % 400'000));
            const timestamp startedAt = now - duration(static_cast<std::int64_t>(random() % 300'000));
            const revision_number told = replayed + random() % 3;
            const std::size_t side = random() % 8;
            if (random() % 5 == 0) {
                // Entries only join here, so that every known peer keeps its contacts.
                replayed += random() % 2;
                count = std::min<std::size_t>(8, std::max<std::size_t>(1, count + random() % 2));
                view.handle(fleet_replayed{replayed, entries(count)}, now, actions);
            } else if (side == 0) {
                contacts.push_back({0, startedAt, told});
                view.handle(store_contacted{startedAt, told}, now, actions);
            } else {
                if (side < count) {
                    contacts.push_back({side, startedAt, told});
                }
                view.handle(gossip_answered{nameOf(side), side + 1, startedAt, told, true}, now, actions);
            }
            std::vector<timestamp> latest(std::max<std::size_t>(count, 1), timestamp::min());
            for (const made_contact &contact : contacts) {
                if (contact.revision <= replayed) {
                    latest[contact.side] = std::max(latest[contact.side], contact.startedAt);
                }
            }
            bool expected = count == 1 || (count > 1 && latest[0] != timestamp::min() && now - latest[0] < 3s);
            const std::ptrdiff_t reached = std::count_if(latest.begin() + 1, latest.end(), [&](timestamp at) {
                return at != timestamp::min() && now - at < 3s;
            });
            expected = expected || (count > 1 && static_cast<std::size_t>(reached + 1) * 2 > count);
            RC_ASSERT(view.isolated(now) == !expected);
        }
    });
}

TEST_CASE("poll schedule")
{
    poll_schedule schedule({});

    SUBCASE("polls follow each other at one second, so that a change is in force within seconds")
    {
        for (std::uint64_t random = 0; random < 1'000'000; random += 9'999) {
            schedule.succeeded(Start, random);
            CHECK(schedule.due() >= Start + 950ms);
            CHECK(schedule.due() <= Start + 1'050ms);
        }
    }
    SUBCASE("delays after failures double in bound from 100 ms to 10 s and use the whole range; a common delay would make recovery a stampede")
    {
        duration bound = 200ms;
        for (int failures = 0; failures < 50; ++failures) {
            poll_schedule shortest = schedule;
            poll_schedule longest = schedule;
            shortest.failed(Start, 0);
            longest.failed(Start, static_cast<std::uint64_t>((bound - 100ms).count()));
            CHECK(shortest.due() == Start + 100ms);
            CHECK(longest.due() == Start + bound);
            schedule.failed(Start, 12'345);
            bound = std::min<duration>(bound * 2, 10s);
        }
        schedule.succeeded(Start, 0);
        schedule.failed(Start, 0);
        CHECK(schedule.failures() == 1);
    }
}
