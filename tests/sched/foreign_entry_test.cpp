// Registry entries of other writers beside live executors: what each field of an entry may change, and that no entry starts a task twice.

#include "../property.h"
#include "base/failure.h"
#include "platform/records.h"
#include "scheduler_fixture.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

using namespace daisypass;
using namespace daisypass::sched;
using json = nlohmann::json;

namespace {

constexpr std::int64_t liveStartUnixMs = 1'000;
constexpr const char *liveId = "live";
constexpr const char *liveAddress = "10.0.0.1:80";
// Longer than a test, so that no run counts as stalled.
constexpr std::int64_t runMs = 3'600'000;

job_spec longJob(const std::string &id, int tasks)
{
    step_spec step = scheduler_fixture::step(tasks);
    step.estimateMs = runMs;
    return scheduler_fixture::job(id, {step});
}

json entryOf(const std::string &pool, const std::string &vm, std::int64_t startedUnixMs)
{
    return json{{"Service", pool},
                {"Address", "10.0.0.9:80"},
                {"Zone", "zone-a"},
                {"Version", "v1"},
                {"Slots", 8},
                {"State", "ready"},
                {"ColdLeftMs", 0},
                {"Capacity", {{"Cpu", 4'000}, {"MemMb", 65'536}, {"Gpu", 0}}},
                {"Labels", {"a", "r1-9"}},
                {"Machine", vm},
                {"ClockMs", 5},
                {"born", startedUnixMs},
                {"Sequence", 3}};
}

json liveEntry()
{
    json entry = entryOf("booking", "vm-live", liveStartUnixMs);
    entry["Address"] = liveAddress;
    return entry;
}

/** Gives the scheduler a registry row in the way of the dispatcher. */
void readRow(scheduler_fixture &world, const std::string &id, const std::string &text)
{
    failure reason;
    const std::optional<executor_entry> entry = readExecutor(id, text, reason);
    if (entry) {
        world.taskScheduler.handle(executor_entry_changed{*entry}, world.now);
    } else {
        world.taskScheduler.handle(executor_entry_removed{id}, world.now);
    }
}

/** A live executor with one run, and another one that has room for it. */
struct live_world
{
    scheduler_fixture world;
    start_run start;

    live_world()
    {
        readRow(world, liveId, liveEntry().dump());
        world.planAndCommit();
        answer();
        world.taskScheduler.handle(job_submitted{longJob("j1", 1)}, world.now);
        world.planAndCommit();
        start = world.takeStart();
        world.answerStart(start);
        answer({scheduler_fixture::running(start)});
        world.addExecutor("other");
        world.take<poll_executor>();
    }

    void answer(std::vector<listed_run> runs = {})
    {
        world.answerPoll(liveId, std::move(runs), {}, order_status::Ok, liveStartUnixMs);
    }

    const executor_record &live() const
    {
        return world.taskScheduler.executors().at(liveId);
    }

    bool isKnown(const std::string &id) const
    {
        return world.taskScheduler.executors().contains(id);
    }

    /** The live executor goes on; true if its run wasn't started again or stopped. */
    bool runGoesOn()
    {
        for (int poll = 0; poll < 10; ++poll) {
            answer({scheduler_fixture::running(start)});
            world.advance(400);
        }
        return !live().dead && world.take<start_run>().empty() && world.take<stop_run>().empty();
    }
};

enum class effect {
    /** The entry changes nothing. */
    None,
    /** The entry's executor is polled; the live one isn't questioned. */
    Listed,
    /** In addition, the live executor is asked whether it was replaced, and gets no new runs before it answers. */
    Questioned,
};

struct entry_case
{
    const char *member;
    /** The member's value; discarded means that it is absent. */
    json value;
    effect expected;
};

json absent()
{
    return json(json::value_t::discarded);
}

json withMember(json entry, const entry_case &changed)
{
    if (changed.value.is_discarded()) {
        entry.erase(changed.member);
    } else {
        entry[changed.member] = changed.value;
    }
    return entry;
}

std::vector<entry_case> casesOfOtherId()
{
    return {
        {"Service", "booking", effect::Questioned},
        {"Service", "spare", effect::Questioned},
        {"Service", "node-agent", effect::None},
        {"Service", absent(), effect::None},
        {"Service", 7, effect::None},
        {"Address", absent(), effect::None},
        {"Address", "nowhere", effect::None},
        {"Address", 80, effect::None},
        {"Zone", absent(), effect::None},
        {"Zone", 1, effect::None},
        {"Version", absent(), effect::Questioned},
        {"Version", 2, effect::None},
        {"Slots", absent(), effect::Questioned},
        {"Slots", "8", effect::None},
        {"State", "draining", effect::Questioned},
        {"State", "gone", effect::None},
        {"State", absent(), effect::None},
        {"State", true, effect::None},
        {"ColdLeftMs", absent(), effect::Questioned},
        {"ColdLeftMs", "0", effect::None},
        {"Capacity", absent(), effect::None},
        {"Capacity", "large", effect::None},
        {"Capacity", json{{"Cpu", "4000"}, {"MemMb", 100}, {"Gpu", 0}}, effect::None},
        {"Capacity", json{{"Cpu", 4'000}, {"MemMb", nullptr}, {"Gpu", 0}}, effect::None},
        {"Capacity", json{{"Cpu", 4'000}, {"MemMb", 100}, {"Gpu", 0.5}}, effect::None},
        {"Capacity", json{{"Cpu", -1}, {"MemMb", 100}, {"Gpu", 0}}, effect::None},
        {"Capacity", json{{"MemMb", 100}, {"Gpu", 0}}, effect::None},
        {"Capacity", json{{"Cpu", 4'000}, {"MemMb", 100}}, effect::Questioned},
        {"Labels", absent(), effect::Questioned},
        {"Labels", "a", effect::None},
        {"Labels", json::array({1}), effect::None},
        {"Machine", absent(), effect::Listed},
        {"Machine", "vm-elsewhere", effect::Listed},
        {"Machine", 3, effect::None},
        {"ClockMs", absent(), effect::None},
        {"ClockMs", "5", effect::None},
        {"born", absent(), effect::Listed},
        {"born", liveStartUnixMs, effect::Listed},
        {"born", liveStartUnixMs - 1, effect::Listed},
        {"born", "1001", effect::None},
        {"born", 1'001.5, effect::None},
        {"Sequence", absent(), effect::None},
        {"Sequence", "3", effect::None},
    };
}

/** What a row under the live executor's own id does. */
enum class own_effect {
    /** The executor goes on as before. */
    None,
    /** The row names no executor to use: it gets no new runs, and those that it has go on. */
    Unlisted,
    /** It gets no new runs at once. */
    Drains,
    /** It has restarted, and the run that its former incarnation listed is lost. */
    Restarted,
};

struct own_case
{
    entry_case change;
    own_effect expected;
};

std::vector<own_case> casesOfOwnId()
{
    return {
        {{"Service", "booking", effect::None}, own_effect::None},
        {{"Service", "node-agent", effect::None}, own_effect::Unlisted},
        {{"Service", absent(), effect::None}, own_effect::Unlisted},
        {{"Address", 7, effect::None}, own_effect::Unlisted},
        {{"Capacity", json{{"Cpu", "x"}}, effect::None}, own_effect::Unlisted},
        {{"Labels", 1, effect::None}, own_effect::Unlisted},
        {{"Machine", 1, effect::None}, own_effect::Unlisted},
        {{"State", "gone", effect::None}, own_effect::Unlisted},
        {{"State", "draining", effect::None}, own_effect::Drains},
        {{"Machine", absent(), effect::None}, own_effect::None},
        {{"born", absent(), effect::None}, own_effect::None},
        {{"born", liveStartUnixMs - 1, effect::None}, own_effect::None},
        {{"born", "x", effect::None}, own_effect::Unlisted},
        {{"born", liveStartUnixMs + 1, effect::None}, own_effect::Restarted},
    };
}

struct pending_poll
{
    poll_executor order;
    time_ms sentAt = 0;
    time_ms answerAt = 0;
};

/** Live executors that answer every poll after a while, beside which another writer puts entries. */
class foreign_writer_world
{
public:
    foreign_writer_world()
    {
        for (const std::string &id : liveIds()) {
            json entry = liveEntry();
            entry["Machine"] = "vm-" + id;
            readRow(m_world, id, entry.dump());
        }
        settle(20);
    }

    static std::vector<std::string> liveIds()
    {
        return {"live-1", "live-2", "live-3"};
    }

    void submit()
    {
        m_world.taskScheduler.handle(job_submitted{longJob("j" + std::to_string(++m_jobs), 2)}, m_world.now);
    }

    void putForeignEntry()
    {
        const std::vector<std::string> pools{"booking", "spare", "node-agent", "", "other"};
        // Drawn in an order of their own: that of a call's arguments differs between machines.
        const std::string pool = *rc::gen::elementOf(pools);
        const std::string vm = "vm-" + *rc::gen::elementOf(liveIds());
        const std::int64_t startedUnixMs = *rc::gen::inRange<std::int64_t>(1, 2 * liveStartUnixMs);
        json entry = entryOf(pool, vm, startedUnixMs);
        entry["State"] = *rc::gen::element<std::string>("ready", "ready", "draining", "gone");
        const std::vector<json> values{absent(), json(nullptr), json(0), json(-1), json("text"), json(1e300), json::array({1}), json::object()};
        const int changes = *rc::gen::inRange(0, 3);
        for (int change = 0; change < changes; ++change) {
            std::vector<std::string> members;
            for (auto member = entry.begin(); member != entry.end(); ++member) {
                members.push_back(member.key());
            }
            const std::string member = *rc::gen::elementOf(members);
            entry = withMember(std::move(entry), {member.c_str(), *rc::gen::elementOf(values), effect::None});
        }
        const std::string id = "agent-" + std::to_string(*rc::gen::inRange(1, 5));
        readRow(m_world, id, *rc::gen::inRange(0, 10) == 0 ? "not an entry" : entry.dump());
    }

    /** Another writer's row in the place of a live executor's; the executor writes its own again later. */
    void overwriteLiveEntry()
    {
        const std::string id = *rc::gen::elementOf(liveIds());
        json entry = entryOf("node-agent", "vm-" + id, 2 * liveStartUnixMs);
        readRow(m_world, id, *rc::gen::arbitrary<bool>() ? entry.dump() : "{");
        settle(*rc::gen::inRange(0, 4));
        entry = liveEntry();
        entry["Machine"] = "vm-" + id;
        readRow(m_world, id, entry.dump());
    }

    void removeForeignEntry()
    {
        m_world.taskScheduler.handle(executor_entry_removed{"agent-" + std::to_string(*rc::gen::inRange(1, 5))}, m_world.now);
    }

    void changeConfiguration()
    {
        configuration_view view = scheduler_fixture::singleQueueConfiguration();
        view.version = ++m_version;
        if (*rc::gen::arbitrary<bool>()) {
            pool_config other;
            other.name = "other";
            view.pools.push_back(other);
        }
        m_world.taskScheduler.handle(configuration_changed{view}, m_world.now);
    }

    void settle(int steps)
    {
        constexpr time_ms stepMs = 50;
        for (int step = 0; step < steps; ++step) {
            m_world.advance(stepMs);
            takeOrders();
            answerDuePolls();
        }
    }

    const std::string &violation() const
    {
        return m_violation;
    }
    std::size_t startedTasks() const
    {
        return m_runs.size();
    }

private:
    static bool isLive(const std::string &id)
    {
        const std::vector<std::string> ids = liveIds();
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }

    void takeOrders()
    {
        for (const start_run &start : m_world.take<start_run>()) {
            if (!isLive(start.executor)) {
                m_violation = start.task.text() + " is started on " + start.executor;
            } else if (!m_runs.emplace(start.task.text(), start).second) {
                m_violation = start.task.text() + " is started again on " + start.executor;
            }
            m_world.answerStart(start);
        }
        for (const stop_run &stop : m_world.take<stop_run>()) {
            m_violation = stop.task.text() + " is stopped on " + stop.executor;
        }
        for (const poll_executor &poll : m_world.take<poll_executor>()) {
            m_polls.push_back({poll, m_world.now, m_world.now + poll.waitMs});
        }
    }

    void answerDuePolls()
    {
        const std::vector<pending_poll> polls = std::exchange(m_polls, {});
        for (const pending_poll &poll : polls) {
            if (poll.answerAt > m_world.now) {
                m_polls.push_back(poll);
                continue;
            }
            poll_answered answer;
            answer.executor = poll.order.executor;
            answer.sentAt = poll.sentAt;
            answer.sentTo = {poll.order.address, poll.order.startedUnixMs};
            answer.status = order_status::Unreachable;
            if (isLive(poll.order.executor)) {
                // An executor that is alive loses one answer in a row at most.
                const bool lost = !m_lost.contains(poll.order.executor) && *rc::gen::inRange(0, 10) == 0;
                lost ? (void)m_lost.insert(poll.order.executor) : (void)m_lost.erase(poll.order.executor);
                answer.status = lost ? order_status::Unknown : order_status::Ok;
                answer.clockMs = m_world.now;
                answer.startedUnixMs = liveStartUnixMs;
                for (const std::pair<const std::string, start_run> &run : m_runs) {
                    if (run.second.executor == poll.order.executor) {
                        answer.runs.push_back(scheduler_fixture::running(run.second));
                    }
                }
            }
            m_world.taskScheduler.handle(answer, m_world.now);
        }
    }

    scheduler_fixture m_world;
    std::map<std::string, start_run> m_runs;
    std::vector<pending_poll> m_polls;
    std::set<std::string> m_lost;
    std::string m_violation;
    std::int64_t m_version = 1;
    int m_jobs = 0;
};

} // namespace

// An entry of a service that no configuration names made all tasks of a live executor run twice (review/1).
TEST_CASE("what each field of an entry under another id may change for a live executor on the machine that it names")
{
    for (const entry_case &change : casesOfOtherId()) {
        CAPTURE(std::string(change.member));
        CAPTURE((change.value.is_discarded() ? std::string("absent") : change.value.dump()));
        live_world story;
        readRow(story.world, "claimant", withMember(entryOf("booking", "vm-live", liveStartUnixMs + 1), change).dump());
        CHECK(story.isKnown("claimant") == (change.expected != effect::None));
        CHECK(story.live().takesNewRuns(story.world.now) == (change.expected != effect::Questioned));
        CHECK(story.runGoesOn());
        CHECK(story.live().takesNewRuns(story.world.now));
    }
}

TEST_CASE("what each field of a row under a live executor's own id may change for it")
{
    constexpr time_ms pastGraceMs = 2'500;
    for (const own_case &row : casesOfOwnId()) {
        CAPTURE(std::string(row.change.member));
        CAPTURE((row.change.value.is_discarded() ? std::string("absent") : row.change.value.dump()));
        live_world story;
        readRow(story.world, liveId, withMember(liveEntry(), row.change).dump());
        if (row.expected == own_effect::Restarted) {
            story.world.planAndCommit();
            CHECK(story.world.take<start_run>().size() == 1);
            continue;
        }
        CHECK(story.live().takesNewRuns(story.world.now) == (row.expected != own_effect::Drains));
        CHECK(story.live().freeCapacity().cpu == 3'000);
        story.world.advance(pastGraceMs);
        CHECK(story.runGoesOn());
        CHECK(story.live().takesNewRuns(story.world.now) == (row.expected == own_effect::None));
        CHECK(story.live().entry.address == liveAddress);
    }
}

// Guards against entries that are lost because they were read before the configuration that names their service.
TEST_CASE("an entry counts from the configuration that names its service")
{
    live_world story;
    configuration_view later = scheduler_fixture::singleQueueConfiguration();
    later.version = 2;
    pool_config added;
    added.name = "added";
    later.pools.push_back(added);
    readRow(story.world, "claimant", entryOf("added", "vm-live", liveStartUnixMs + 1).dump());
    CHECK_FALSE(story.isKnown("claimant"));

    SUBCASE("it is used then, and the executor that it claims to replace is asked")
    {
        story.world.taskScheduler.handle(configuration_changed{later}, story.world.now);
        CHECK(story.isKnown("claimant"));
        CHECK_FALSE(story.live().takesNewRuns(story.world.now));
        CHECK(story.runGoesOn());
    }
    SUBCASE("not if it was removed before")
    {
        story.world.taskScheduler.handle(executor_entry_removed{"claimant"}, story.world.now);
        story.world.taskScheduler.handle(configuration_changed{later}, story.world.now);
        CHECK_FALSE(story.isKnown("claimant"));
    }
    SUBCASE("not if the writer has replaced it by a row that can't be read")
    {
        readRow(story.world, "claimant", "{");
        story.world.taskScheduler.handle(configuration_changed{later}, story.world.now);
        CHECK_FALSE(story.isKnown("claimant"));
    }
}

// Guards against leases that lapse, and against conclusions, while a holder hasn't read the configuration yet.
TEST_CASE("a holder that has read no configuration holds on the runs that it has restored, and concludes nothing from entries")
{
    live_world former;
    scheduler_fixture second({}, {}, false);
    second.takeOver(former.world, "j1");
    readRow(second, "claimant", entryOf("booking", "vm-live", liveStartUnixMs + 1).dump());
    readRow(second, liveId, liveEntry().dump());
    second.planAndCommit();
    std::vector<poll_executor> polls = second.take<poll_executor>();
    REQUIRE(polls.size() == 1);
    CHECK(polls[0].executor == liveId);
    second.answerPoll(liveId, {scheduler_fixture::running(former.start)}, {}, order_status::Ok, liveStartUnixMs);
    polls = second.take<poll_executor>();
    REQUIRE(polls.size() == 1);
    CHECK(polls[0].leaseEndMs.has_value());
    CHECK_FALSE(second.taskScheduler.executors().at(liveId).replacement.has_value());

    SUBCASE("another executor at the address isn't taken for its end, as the address may be another writer's")
    {
        poll_answered misdirected{liveId, order_status::WrongExecutor, second.now, 7, std::nullopt, {}, {}};
        misdirected.sentTo = {liveAddress, liveStartUnixMs};
        second.taskScheduler.handle(misdirected, second.now);
        CHECK_FALSE(second.taskScheduler.executors().at(liveId).dead);
    }
    SUBCASE("with the configuration it uses all entries of the services that it names")
    {
        readRow(second, "agent", entryOf("node-agent", "vm-live", liveStartUnixMs + 2).dump());
        second.taskScheduler.handle(configuration_changed{scheduler_fixture::singleQueueConfiguration()}, second.now);
        CHECK(second.taskScheduler.executors().contains("claimant"));
        CHECK_FALSE(second.taskScheduler.executors().contains("agent"));
        CHECK(second.taskScheduler.executors().at(liveId).replacement.has_value());
        second.answerPoll(liveId, {scheduler_fixture::running(former.start)}, {}, order_status::Ok, liveStartUnixMs);
        CHECK_FALSE(second.taskScheduler.executors().at(liveId).replacement.has_value());
        CHECK(second.take<start_run>().empty());
    }
}

TEST_CASE("no entries of another writer start a live executor's tasks again")
{
    CHECK(propertyHolds(
        [] {
            foreign_writer_world world;
            world.submit();
            world.settle(10);
            RC_ASSERT(world.startedTasks() == 2U);
            const int events = *rc::gen::inRange(1, 40);
            for (int event = 0; event < events && world.violation().empty(); ++event) {
                switch (*rc::gen::inRange(0, 10)) {
                case 0:
                    world.submit();
                    break;
                case 1:
                    world.removeForeignEntry();
                    break;
                case 2:
                    world.overwriteLiveEntry();
                    break;
                case 3:
                    world.changeConfiguration();
                    break;
                default:
                    world.putForeignEntry();
                }
                world.settle(*rc::gen::inRange(0, 12));
            }
            world.settle(160);
            RC_LOG(world.violation());
            RC_ASSERT(world.violation().empty());
        },
        200));
}
