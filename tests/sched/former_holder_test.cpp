#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

constexpr time_ms listEveryMs = 500;
constexpr time_ms takeoverMs = 2'000;
constexpr time_ms cutForMs = 20'000;

// The end of the last lease that is granted on `executor` while it answers and the time passes; the clocks are the same.
std::optional<std::int64_t> lastLeaseWhile(scheduler_fixture &holder, const start_run &run, time_ms passesMs)
{
    std::optional<std::int64_t> end;
    for (time_ms passed = 0; passed < passesMs; passed += listEveryMs) {
        holder.advance(listEveryMs);
        for (const hold_executor &order : holder.take<hold_executor>()) {
            end = std::max(end, order.leaseEndMs);
        }
        holder.answerHold(run.executor, {scheduler_fixture::running(run)});
    }
    for (const hold_executor &order : holder.take<hold_executor>()) {
        end = std::max(end, order.leaseEndMs);
    }
    return end;
}

} // namespace

// Issue 14: the former holder, without the store, went on extending leases on executors that only it reached.
TEST_CASE("a run that a former holder keeps alive isn't started twice")
{
    scheduler_fixture former;
    former.addExecutor("cut");
    former.taskScheduler.handle(job_submitted{former.job("j1", {former.step(1)})}, former.now);
    former.planAndCommit();
    const std::vector<start_run> starts = former.take<start_run>();
    REQUIRE(starts.size() == 1);
    former.answerStart(starts[0]);
    lastLeaseWhile(former, starts[0], 3'000);
    const time_ms renewedAt = former.now;
    former.storeReachable = false;
    const std::optional<std::int64_t> leaseEnd = lastLeaseWhile(former, starts[0], cutForMs);
    REQUIRE(leaseEnd);

    lease_rules rules({"n2", 1, 0}, takeoverMs);
    rules.sawRow(lease_row{"n1", 1, 3}, 10, renewedAt);
    const time_ms takenAt = renewedAt + takeoverMs;
    REQUIRE(rules.mayTake(takenAt));
    scheduler_fixture successor({}, {takenAt, rules.earlierGrantsUntil(takenAt)});
    REQUIRE(successor.taskScheduler.restore(successor.job("j1", {successor.step(1)}), former.rows.at("j1"), successor.now));
    successor.addExecutor("other");
    successor.taskScheduler.handle(executor_seen{scheduler_fixture::entry("cut")}, successor.now);
    std::vector<start_run> again;
    while (again.empty() && successor.now < takenAt + cutForMs) {
        successor.answerHold("cut", {}, {}, order_status::Unreachable);
        successor.advance(100);
        successor.answerHold("other");
        again = successor.take<start_run>();
    }

    SUBCASE("not before every lease that the former holder may have extended is over")
    {
        REQUIRE(again.size() == 1);
        CHECK(again[0].run == 2);
        // The executor's clock may be 2% slow.
        CHECK(successor.now >= *leaseEnd + (*leaseEnd - renewedAt) / 50);
    }
    SUBCASE("and not left waiting for longer than that needs")
    {
        CHECK(successor.now <= *leaseEnd + 1'000);
    }
}

TEST_CASE("a holder without the store holds on to its runs while nobody can have started them elsewhere")
{
    scheduler_fixture holder;
    holder.addExecutor("e1");
    holder.taskScheduler.handle(job_submitted{holder.job("j1", {holder.step(1)})}, holder.now);
    holder.planAndCommit();
    const std::vector<start_run> starts = holder.take<start_run>();
    REQUIRE(starts.size() == 1);
    holder.answerStart(starts[0]);
    lastLeaseWhile(holder, starts[0], 1'000);
    const time_ms renewedAt = holder.now;
    holder.storeReachable = false;

    SUBCASE("an outage shorter than the bound costs no lease")
    {
        const std::optional<std::int64_t> end = lastLeaseWhile(holder, starts[0], 6'000);
        REQUIRE(end);
        // The commit that ends the outage may take its whole time limit.
        CHECK(*end > holder.now + 1'500);
    }
    SUBCASE("leases are extended in full again as soon as a renewal is stored")
    {
        lastLeaseWhile(holder, starts[0], 6'000);
        holder.storeReachable = true;
        const std::optional<std::int64_t> end = lastLeaseWhile(holder, starts[0], 1'000);
        REQUIRE(end);
        CHECK(*end >= holder.now + 5'000);
    }
    SUBCASE("a start whose row was stored before a long pause isn't sent after it")
    {
        holder.storeReachable = true;
        holder.taskScheduler.handle(job_submitted{holder.job("j2", {holder.step(1)})}, holder.now);
        holder.now += 5;
        holder.taskScheduler.plan(holder.now);
        const std::optional<commit_batch> batch = holder.taskScheduler.takeBatch(holder.now);
        REQUIRE(batch);
        holder.now = renewedAt + 60'000;
        holder.taskScheduler.handle(batch_committed{batch->number}, holder.now);
        holder.collectActions();
        CHECK(holder.take<start_run>().empty());
    }
}
