#include "scheduler_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

constexpr time_ms listEveryMs = 500;
constexpr time_ms takeoverMs = 2'000;
constexpr time_ms partitionMs = 20'000;

// Lets `durationMs` pass while the run's executor answers every poll. Returns the latest lease end that the holder granted in this time,
// on the executor's clock, which equals the holder's.
std::optional<std::int64_t> lastGrantedLeaseEnd(scheduler_fixture &holder, const start_run &run, time_ms durationMs)
{
    std::optional<std::int64_t> end;
    for (time_ms elapsedMs = 0; elapsedMs < durationMs; elapsedMs += listEveryMs) {
        holder.advance(listEveryMs);
        for (const poll_executor &order : holder.take<poll_executor>()) {
            end = std::max(end, order.leaseEndMs);
        }
        holder.answerPoll(run.executor, {scheduler_fixture::running(run)});
    }
    for (const poll_executor &order : holder.take<poll_executor>()) {
        end = std::max(end, order.leaseEndMs);
    }
    return end;
}

} // namespace

// A former holder without the store continued to extend leases on executors that only it could reach (issue 14).
TEST_CASE("a run whose lease a former holder still extends isn't started twice")
{
    scheduler_fixture former;
    former.addExecutor("cut");
    former.taskScheduler.handle(job_submitted{former.job("j1", {former.step(1)})}, former.now);
    former.planAndCommit();
    const std::vector<start_run> starts = former.take<start_run>();
    REQUIRE(starts.size() == 1);
    former.answerStart(starts[0]);
    lastGrantedLeaseEnd(former, starts[0], 3'000);
    const time_ms renewedAt = former.now;
    former.storeReachable = false;
    const std::optional<std::int64_t> leaseEnd = lastGrantedLeaseEnd(former, starts[0], partitionMs);
    REQUIRE(leaseEnd);

    lease_rules rules({"n2", 1, 0}, takeoverMs);
    rules.onRowRead(lease_row{"n1", 1, 3}, 10, renewedAt);
    const time_ms acquiredAt = renewedAt + takeoverMs;
    REQUIRE(rules.mayAcquire(acquiredAt));
    scheduler_fixture successor({}, {acquiredAt, rules.earlierGrantsUntil(acquiredAt)});
    REQUIRE(successor.taskScheduler.restore(successor.job("j1", {successor.step(1)}), former.rows.at("j1"), successor.now));
    successor.addExecutor("other");
    successor.taskScheduler.handle(executor_entry_changed{scheduler_fixture::entry("cut")}, successor.now);
    std::vector<start_run> again;
    while (again.empty() && successor.now < acquiredAt + partitionMs) {
        successor.answerPoll("cut", {}, {}, order_status::Unreachable);
        successor.advance(100);
        successor.answerPoll("other");
        again = successor.take<start_run>();
    }

    SUBCASE("it is placed again only after every lease that the former holder may have extended has expired")
    {
        REQUIRE(again.size() == 1);
        CHECK(again[0].run == 2);
        // The executor's clock may be 2% slow.
        CHECK(successor.now >= *leaseEnd + (*leaseEnd - renewedAt) / 50);
    }
    SUBCASE("it is placed again soon after that")
    {
        CHECK(successor.now <= *leaseEnd + 1'000);
    }
}

TEST_CASE("a holder without the store extends its runs' leases as long as no successor can have started the runs elsewhere")
{
    scheduler_fixture holder;
    holder.addExecutor("e1");
    holder.taskScheduler.handle(job_submitted{holder.job("j1", {holder.step(1)})}, holder.now);
    holder.planAndCommit();
    const std::vector<start_run> starts = holder.take<start_run>();
    REQUIRE(starts.size() == 1);
    holder.answerStart(starts[0]);
    lastGrantedLeaseEnd(holder, starts[0], 1'000);
    const time_ms renewedAt = holder.now;
    holder.storeReachable = false;

    SUBCASE("no lease expires in an outage that is shorter than the bound")
    {
        const std::optional<std::int64_t> end = lastGrantedLeaseEnd(holder, starts[0], 6'000);
        REQUIRE(end);
        // The commit that ends the outage may take as long as its timeout.
        CHECK(*end > holder.now + 1'500);
    }
    SUBCASE("leases are extended in full again as soon as a renewal is stored")
    {
        lastGrantedLeaseEnd(holder, starts[0], 6'000);
        holder.storeReachable = true;
        const std::optional<std::int64_t> end = lastGrantedLeaseEnd(holder, starts[0], 1'000);
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
