#include "../property.h"
#include "tenant_world.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace daisypass;
using namespace daisypass::sched;

namespace {

constexpr time_ms passMs = 400;
constexpr resources twoCores{2'000, 0, 0};

step_spec lastingStep(int tasks)
{
    step_spec step = scheduler_fixture::step(tasks);
    step.estimateMs = 60'000;
    return step;
}

} // namespace

// Guards against a tenant that runs more than its cap (QUOTA).
TEST_CASE("the tasks of a tenant never use more than its cap")
{
    tenant_world story({tenantOf("small", 5, twoCores), tenantOf("other", 5)});
    story.world.addExecutor("e1", 16'000);

    SUBCASE("in one job, and others don't wait behind it")
    {
        story.submit("j1", "small", {lastingStep(5)});
        story.submit("j2", "other", {lastingStep(5)});
        story.play(passMs);
        CHECK(story.used("small").cpu == 2'000);
        CHECK(story.used("other").cpu == 5'000);
        CHECK(story.world.taskScheduler.tenantGauges().tasksWaitingForCap == 3);
        CHECK(story.logged["tenant_held_by_cap"] == 1);
    }
    SUBCASE("in several jobs, one task after another")
    {
        for (const char *id : {"j1", "j2", "j3"}) {
            story.submit(id, "small", {scheduler_fixture::step(2)});
        }
        story.play(5'000);
        CHECK(story.started["small"] == 6);
        CHECK(story.most["small"].cpu == 2'000);
        CHECK(story.logged["tenant_below_cap"] == 1);
    }
    SUBCASE("of tasks whose processor time doesn't count against the executor")
    {
        step_spec filling = lastingStep(5);
        filling.bestEffortCpu = true;
        story.submit("j1", "small", {filling});
        story.play(passMs);
        CHECK(story.used("small").cpu == 2'000);
    }
    SUBCASE("of memory")
    {
        story.configure({tenantOf("small", 5, {0, 250, 0})});
        story.submit("j1", "small", {lastingStep(5)});
        story.play(passMs);
        CHECK(story.used("small").memoryMb == 200);
    }
    SUBCASE("also when the configuration gets tenants while their tasks run")
    {
        story.configure({});
        story.submit("j1", "small", {lastingStep(1)});
        story.play(passMs);
        story.configure({tenantOf("small", 5, twoCores)});
        story.submit("j2", "small", {lastingStep(3)});
        story.play(passMs);
        CHECK(story.used("small").cpu == 2'000);
    }
    SUBCASE("and a tenant that the configuration doesn't have any more keeps its cap")
    {
        story.configure({tenantOf("other", 5)});
        story.submit("j1", "small", {lastingStep(5)});
        story.play(passMs);
        CHECK(story.used("small").cpu == 2'000);
    }
}

// Guards against part of a gang that starts within the cap and waits for members that the cap forbids.
TEST_CASE("a gang starts as a whole within the tenant's cap or not at all")
{
    tenant_world story({tenantOf("small", 5, twoCores)});
    story.world.addExecutor("e1", 16'000);
    step_spec gang = lastingStep(2);
    gang.gang = true;

    SUBCASE("it fits")
    {
        story.submit("j1", "small", {gang});
        story.play(passMs);
        CHECK(story.used("small").cpu == 2'000);
    }
    SUBCASE("it waits while another task of the tenant runs")
    {
        story.submit("j1", "small", {lastingStep(1)});
        story.play(passMs);
        story.submit("j2", "small", {gang});
        story.play(passMs);
        CHECK(story.used("small").cpu == 1'000);
    }
    SUBCASE("it is larger than the cap, which is logged once")
    {
        gang.taskCount = 3;
        story.submit("j1", "small", {gang});
        story.play(passMs);
        CHECK(story.used("small").cpu == 0);
        CHECK(story.logged["task_above_cap"] == 1);
    }
}

// Guards against starts, or stops of work that is under way, after an operator has lowered a cap.
TEST_CASE("a cap that is lowered far below what runs stops nothing, and nothing starts until it fits")
{
    tenant_world story({tenantOf("a", 5, {8'000, 0, 0})});
    story.world.addExecutor("e1", 16'000);
    step_spec step = scheduler_fixture::step(1);
    step.estimateMs = 1'000;
    for (int job = 0; job < 12; ++job) {
        story.submit("j" + std::to_string(job), "a", {step});
    }
    story.play(passMs);
    REQUIRE(story.used("a").cpu == 8'000);
    story.configure({tenantOf("a", 5, twoCores)});
    const int before = story.started["a"];
    story.play(passMs);
    CHECK(story.started["a"] == before);
    CHECK(story.used("a").cpu == 8'000);
    CHECK(story.world.take<stop_run>().empty());
    story.most.clear();
    story.play(5'000);
    CHECK(story.started["a"] == 12);
    CHECK(story.most["a"].cpu == 2'000);
}

// Guards against placements that wait for the store while the cap is lowered.
TEST_CASE("a placement that isn't stored yet is taken back when the cap is lowered below it")
{
    tenant_world story({tenantOf("a", 5, {4'000, 0, 0})});
    story.world.addExecutor("e1", 16'000);
    story.world.storeReachable = false;
    story.submit("j1", "a", {lastingStep(4)});
    story.world.planAndCommit();
    story.configure({tenantOf("a", 5, twoCores)});
    story.world.storeReachable = true;
    story.play(1'000);
    CHECK(story.most["a"].cpu == 2'000);
}

// Guards against a new lease holder that doesn't count the runs of the former one.
TEST_CASE("a new lease holder keeps to the cap from its first placement on")
{
    tenant_world former({tenantOf("a", 5, {4'000, 0, 0})});
    former.world.addExecutor("e1", 16'000);
    former.submit("j1", "a", {lastingStep(3)});
    former.play(passMs);
    REQUIRE(former.used("a").cpu == 3'000);
    former.submit("j2", "a", {lastingStep(3)});

    term_times term;
    term.acquiredAt = former.world.now;
    term.earlierGrantsUntil = former.world.now;
    tenant_world story({tenantOf("a", 5, {4'000, 0, 0})}, term);
    story.takeOver(former);
    CHECK(story.usedInLedger("a").cpu == 3'000);
    story.announceExecutor("e1", 16'000);
    story.play(1'000);
    CHECK(story.most["a"].cpu == 4'000);
    CHECK(story.usedInLedger("a").cpu == 4'000);
}

// Guards against a run that is no longer needed, but may still start late on top of the cap.
TEST_CASE("a run that was given up counts for its tenant until it has certainly ended")
{
    tenant_world story({tenantOf("a", 5, {4'000, 0, 0})});
    scheduler_fixture &world = story.world;
    world.addExecutor("e1");
    story.submit("j1", "a", {scheduler_fixture::step(1, 3'000)});
    world.planAndCommit();
    const start_run first = world.takeStart();
    world.answerStart(first);
    world.addExecutor("e2");
    world.answerPoll("e1", {}, {}, order_status::Unknown);
    std::vector<start_run> again;
    while (again.empty() && world.now < 20'000) {
        world.advance(100);
        again = world.take<start_run>();
    }
    REQUIRE(again.size() == 1);
    world.answerStart(again[0], order_status::Unknown);
    world.answerPoll("e1", {}, {scheduler_fixture::ended(first, 1, run_end::Done)});
    world.answerPoll("e2");
    story.submit("j2", "a", {scheduler_fixture::step(1, 3'000)});
    world.advance(400);
    CHECK(world.take<start_run>().empty());
    CHECK(story.usedInLedger("a").cpu == 3'000);

    world.taskScheduler.handle(stop_answered{again[0].task, again[0].run, "e2", order_status::Ok}, world.now);
    world.now += 10;
    world.answerPoll("e2");
    world.advance(400);
    CHECK(world.take<start_run>().size() == 1);
}

// Guards against VMs that are paid for and moved to a pool for tasks that a cap forbids to start.
TEST_CASE("tasks that wait for their tenant's cap don't move VMs to their pool")
{
    const auto movesWith = [](const resources &cap) {
        tenant_world story({tenantOf("a", 100, cap)});
        story.world.addExecutor("e1");
        vms_listed list;
        list.vms.push_back({"vm-e1", "booking", vm_state::Up, "zone", {"a"}, "e1"});
        for (int vm = 0; vm < 20; ++vm) {
            list.vms.push_back({"off-" + std::to_string(vm), "spare", vm_state::Up, "zone", {"a"}, ""});
        }
        story.world.taskScheduler.handle(list, story.world.now);
        story.submit("j0", "a", {lastingStep(4)});
        story.play(5'000);
        const std::size_t before = story.world.take<move_vm>().size();
        for (int job = 0; job < 20; ++job) {
            story.submit("late-" + std::to_string(job), "a", {lastingStep(8)});
        }
        story.play(3'000);
        return std::pair<std::size_t, std::size_t>(before, story.world.take<move_vm>().size());
    };
    CHECK(movesWith({}).second > 0);
    CHECK(movesWith(twoCores).second == 0);
}

// Guards against an account that drifts from the runs over many starts and ends.
TEST_CASE("the ledger is what the counted runs add up to, after any events")
{
    CHECK(propertyHolds(
        [](const std::vector<int> &events) {
            tenant_ledger ledger;
            ledger.configure(std::vector<tenant_config>{tenantOf("a", 1), tenantOf("b", 1)});
            std::map<task_id, tenant_charge> running;
            for (int event : events) {
                const task_id task{"j" + std::to_string(std::abs(event % 7)), 0, 0, 0};
                if (event % 3 == 0) {
                    ledger.remove(task);
                    running.erase(task);
                    continue;
                }
                const resources demand{std::abs(event % 11), std::abs(event % 5), 0};
                const tenant_charge charge{static_cast<std::size_t>(std::abs(event) % 3), event % 2 == 0 ? "p" : "q", demand, demand};
                ledger.add(task, charge);
                running.try_emplace(task, charge);
            }
            for (std::size_t tenant = 0; tenant < ledger.count(); ++tenant) {
                resources sum;
                resources inP;
                for (const std::pair<const task_id, tenant_charge> &one : running) {
                    if (one.second.tenant == tenant) {
                        sum += one.second.demand;
                        inP += one.second.pool == "p" ? one.second.shared : resources{};
                    }
                }
                RC_ASSERT(ledger.usedBy(tenant).cpu == sum.cpu);
                RC_ASSERT(ledger.usedBy(tenant).memoryMb == sum.memoryMb);
                RC_ASSERT(ledger.sharedUse("p", tenant).cpu == inP.cpu);
            }
        },
        200));
}
