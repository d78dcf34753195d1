// Property tests of the membership views of a whole fleet, with fixed seeds.

#include "membership_fixture.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <set>

using namespace daisypass;
using namespace std::chrono_literals;

namespace {

// Simulates the membership views of all entries over a virtual network. A call takes up to 300 ms; calls across a partition fail.
class virtual_fleet
{
public:
    virtual_fleet(std::size_t count, std::uint64_t seed)
        : m_random(seed)
        , m_side(count, 0)
    {
        for (std::size_t index = 0; index < count; ++index) {
            m_views.emplace_back(nameOf(index), index + 1, membership_timing{});
            m_frozenUntil.push_back(start);
            handle(index, fleet_replayed{count, entries(count)});
        }
    }

    // Partitions the network; only entries with the same value in `side` reach each other.
    void partition(const std::vector<int> &side)
    {
        m_side = side;
    }

    void freeze(std::size_t entry, duration length)
    {
        m_frozenUntil[entry] = m_now + length;
    }

    // Advances the time by 50 ms and delivers the calls that end.
    void step()
    {
        m_now += 50ms;
        for (std::size_t index = 0; index < m_views.size(); ++index) {
            if (m_now >= m_frozenUntil[index]) {
                handle(index, membership_tick{m_random()});
            }
        }
        std::vector<call> pending;
        for (const call &made : m_calls) {
            // A frozen caller reads its answers, and a frozen callee answers, only after it resumes.
            if (made.endsAt > m_now || m_now < m_frozenUntil[made.from] || (!made.answered && m_now < m_frozenUntil[made.to])) {
                pending.push_back(made);
                pending.back().answered = made.answered || (made.endsAt <= m_now && m_now >= m_frozenUntil[made.to]);
            } else if (made.answered || m_side[made.from] == m_side[made.to]) {
                timestamp &stamp = m_stamps[{made.from, made.to}];
                handle(made.to, gossip_received{nameOf(made.from), made.from + 1, m_views.size(), true, made.echo});
                stamp = m_now;
                handle(made.from, gossip_answered{nameOf(made.to), made.to + 1, made.startedAt, m_views.size(), true});
            } else {
                handle(made.from, gossip_failed{nameOf(made.to), made.to + 1, false});
            }
        }
        m_calls = std::move(pending);
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
    timestamp m_now = start;
    std::vector<membership_view> m_views;
    std::vector<timestamp> m_frozenUntil;
    std::vector<int> m_side;
    std::vector<call> m_calls;
    // Time of the last answer that `first` received from `second`.
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

// Guards against two sides of a partition that both dispatch: one of them would not learn that a target is being drained.
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
        fleet.partition(side);
        const timestamp partitionedAt = fleet.now();
        for (int i = 0; i < 200; ++i) {
            fleet.step();
            std::set<int> dispatching;
            for (std::size_t index = 0; index < count; ++index) {
                if (!fleet.isolated(index)) {
                    dispatching.insert(side[index]);
                }
            }
            RC_ASSERT(dispatching.size() <= 1 || fleet.now() < partitionedAt + 3s);
            for (std::size_t index = 0; index < count && fleet.now() > partitionedAt + 4s; ++index) {
                const std::size_t members = static_cast<std::size_t>(std::count(side.begin(), side.end(), side[index]));
                RC_ASSERT(fleet.isolated(index) == (members * 2 <= count));
            }
        }
    });
}

// Guards against an entry that dispatches on a stale view after its process was suspended.
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
            // In the step in which the entry resumes it first reads all answers that arrived meanwhile.
            fleet.step();
            RC_ASSERT(fleet.now() < resumes || fleet.isolated(0));
        }
        for (int i = 0; i < 40; ++i) {
            fleet.step();
        }
        RC_ASSERT(!fleet.isolated(0));
    });
}

// Guards against contact that counts too early or too long: for random orders of answers, replays and joins the result must equal a simple
// recount of all contacts.
TEST_CASE("membership view: the dispatch limit equals a recount of all contacts")
{
    checkProperty("recount", [](std::uint64_t seed) {
        struct contact_record
        {
            std::size_t side = 0; // 0 is the store, others are peers.
            timestamp startedAt{};
            revision_number revision = 0;
        };
        std::mt19937_64 random(seed);
        membership_view view(nameOf(0), 1, {});
        std::vector<contact_record> contacts;
        std::vector<membership_action> actions;
        revision_number replayed = 0;
        std::size_t count = 0;
        timestamp now = start;
        for (int i = 0; i < 60; ++i) {
            now += duration(static_cast<std::int64_t>(random() % 400'000));
            const timestamp startedAt = now - duration(static_cast<std::int64_t>(random() % 300'000));
            const revision_number reported = replayed + random() % 3;
            const std::size_t side = random() % 8;
            if (random() % 5 == 0) {
                // Entries join but never leave in this test, so every known peer keeps its contacts.
                replayed += random() % 2;
                count = std::min<std::size_t>(8, std::max<std::size_t>(1, count + random() % 2));
                view.handle(fleet_replayed{replayed, entries(count)}, now, actions);
            } else if (side == 0) {
                contacts.push_back({0, startedAt, reported});
                view.handle(store_contacted{startedAt, reported}, now, actions);
            } else {
                if (side < count) {
                    contacts.push_back({side, startedAt, reported});
                }
                view.handle(gossip_answered{nameOf(side), side + 1, startedAt, reported, true}, now, actions);
            }
            std::vector<timestamp> latest(std::max<std::size_t>(count, 1), timestamp::min());
            for (const contact_record &contact : contacts) {
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
