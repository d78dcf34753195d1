// daisypass-node on the platform's stand-in: the whole path of a job, and the guarantees while nodes or the store fail.

#include "integration/platform_deployment.h"

#include <doctest/doctest.h>

using namespace daisypass::integration;

namespace {

constexpr int taskMs = 150;

std::vector<std::string> submitMany(platform_deployment &platform, int count, int tasks)
{
    std::vector<std::string> jobs;
    for (int i = 0; i < count; ++i) {
        const std::string job = platform.submit(0, taskMs, tasks);
        if (!job.empty()) {
            jobs.push_back(job);
        }
    }
    return jobs;
}

void checkAllCompleted(platform_deployment &platform, std::size_t node, const std::vector<std::string> &jobs)
{
    for (const std::string &job : jobs) {
        INFO("job " << job);
        CHECK(platform.waitForPhase(node, job, "completed"));
    }
    const nlohmann::json report = platform.report();
    INFO(report.dump());
    CHECK(report["breaches"].empty());
}

// A node that does not hold the lease, to send requests to while the lease holder is stopped.
std::size_t nodeOtherThan(std::size_t leaseHolder)
{
    return leaseHolder == 0 ? 1 : 0;
}

} // namespace

TEST_CASE("a job passes from any node to the executors and back")
{
    platform_deployment platform({.nodes = 3});

    SUBCASE("accepted once, however often it is submitted, and shown by every node")
    {
        const std::string job = platform.submit(0, taskMs, 4);
        REQUIRE_FALSE(job.empty());
        CHECK(platform.resubmit(1, job, taskMs, 4) == 200);
        CHECK(platform.waitForPhase(2, job, "completed"));
        CHECK(platform.resubmit(2, job, taskMs, 4) == 200);
        CHECK(platform.report()["starts"] == 4);
        CHECK(platform.report()["breaches"].empty());
    }
    SUBCASE("a job that always fails is failed after its attempts")
    {
        const std::string job = platform.submit(1, taskMs, 1, "fail");
        REQUIRE_FALSE(job.empty());
        CHECK(platform.waitForPhase(0, job, "failed"));
        CHECK(platform.report()["starts"] == 3);
    }
    SUBCASE("a cancelled job's tasks are stopped")
    {
        const std::string job = platform.submit(0, 60'000, 2);
        REQUIRE_FALSE(job.empty());
        CHECK(platform.waitForPhase(1, job, "running"));
        CHECK(platform.cancel(2, job) == 200);
        CHECK(platform.waitForPhase(0, job, "cancelled"));
        CHECK(waitUntil([&] {
            return platform.report()["running"] == 0;
        }));
    }
    SUBCASE("unknown queues, jobs and bodies are refused")
    {
        CHECK(platform.status("GET", 0, "/no-queue/") == 404);
        CHECK(platform.status("GET", 0, "/queue-0/0123456789abcdef") == 410);
        CHECK(platform.status("GET", 0, "/queue-0/not-an-id") == 400);
        CHECK(platform.status("POST", 0, "/queue-0/0123456789abcdef") == 400);
    }
}

TEST_CASE("accepted jobs survive the holder of the lease")
{
    platform_deployment platform({.nodes = 3});
    const std::size_t leaseHolder = platform.leaseHolder();
    const std::size_t other = nodeOtherThan(leaseHolder);
    std::vector<std::string> jobs = submitMany(platform, 10, 6);
    CHECK(jobs.size() == 10);

    SUBCASE("killed")
    {
        platform.node(leaseHolder).kill();
    }
    SUBCASE("killed and started again")
    {
        platform.node(leaseHolder).kill();
        platform.restart(leaseHolder);
    }
    SUBCASE("frozen past its lease and resumed")
    {
        platform.node(leaseHolder).freeze();
        CHECK(platform.waitForPhase(other, jobs.back(), "completed"));
        platform.node(leaseHolder).resume();
    }
    SUBCASE("stopped in order")
    {
        platform.node(leaseHolder).requestStop();
        const std::optional<int> status = platform.node(leaseHolder).waitForExit();
        REQUIRE(status);
        CHECK(*status == 0);
    }
    const std::string late = platform.submit(other, taskMs, 2);
    CHECK_FALSE(late.empty());
    jobs.push_back(late);
    checkAllCompleted(platform, other, jobs);
}

TEST_CASE("accepted jobs survive the store's failures")
{
    platform_deployment platform({.nodes = 2});
    platform.leaseHolder();

    SUBCASE("lost answers")
    {
        platform.admin("/admin/fault?kind=lost&share=0.3");
        const std::vector<std::string> jobs = submitMany(platform, 10, 3);
        CHECK(jobs.size() >= 8);
        checkAllCompleted(platform, 1, jobs);
    }
    SUBCASE("unavailable for a while: no new job is accepted, and accepted jobs complete")
    {
        const std::vector<std::string> jobs = submitMany(platform, 5, 3);
        platform.admin("/admin/fault?kind=busy");
        CHECK(platform.submit(0, taskMs, 1).empty());
        platform.admin("/admin/fault?kind=none");
        checkAllCompleted(platform, 0, jobs);
    }
    SUBCASE("history forgotten")
    {
        platform.admin("/admin/forget");
        checkAllCompleted(platform, 1, submitMany(platform, 5, 3));
    }
    SUBCASE("slow")
    {
        platform.admin("/admin/fault?kind=slow&delay_ms=150");
        const std::vector<std::string> jobs = submitMany(platform, 3, 3);
        CHECK(jobs.size() == 3);
        checkAllCompleted(platform, 1, jobs);
    }
}

// Guards against a job whose state the store refuses for good, so that no later job of any queue is started (LOST).
TEST_CASE("a job of thousands of tasks holds up no other job")
{
    platform_deployment platform({.nodes = 3});
    const std::string large = platform.submit(0, taskMs, 3'000);
    REQUIRE_FALSE(large.empty());
    std::vector<std::string> jobs = submitMany(platform, 5, 4);
    CHECK(jobs.size() == 5);
    jobs.push_back(large);

    SUBCASE("under one lease holder")
    {
    }
    SUBCASE("nor when its lease holder is killed")
    {
        const std::size_t leaseHolder = platform.leaseHolder();
        platform.node(leaseHolder).kill();
        platform.restart(leaseHolder);
    }
    checkAllCompleted(platform, 1, jobs);
}

// Guards against a transaction that the store refuses for good and that is sent again and again, so that the lease is lost (LOST).
TEST_CASE("a job whose state the store refuses is failed, and holds up no other job")
{
    platform_deployment platform({.nodes = 2});
    platform.leaseHolder();
    constexpr int tasksAboveLimit = 60;
    platform.admin("/admin/limit?value_bytes=1000");
    const std::string refused = platform.submit(0, taskMs, tasksAboveLimit);
    REQUIRE_FALSE(refused.empty());
    const std::vector<std::string> jobs = submitMany(platform, 5, 2);
    CHECK(jobs.size() == 5);
    CHECK(platform.waitForPhase(1, refused, "failed"));
    checkAllCompleted(platform, 1, jobs);
}

TEST_CASE("a maintenance wave takes each VM down once and ends")
{
    platform_deployment platform({.nodes = 2, .waveVms = 3});
    const std::vector<std::string> jobs = submitMany(platform, 5, 4);
    CHECK(waitUntil([&] {
        return platform.report().value("wave_status", "").find("completed") != std::string::npos;
    }));
    CHECK(platform.report()["upkeeps"] == 3);
    checkAllCompleted(platform, 1, jobs);
}

// Guards against a new lease holder that announces every wave it reads, which showed completed waves as running again.
TEST_CASE("a completed wave is not shown as running again after a takeover")
{
    platform_deployment platform({.nodes = 2, .waveVms = 2});
    const std::size_t former = platform.leaseHolder();
    REQUIRE(waitUntil([&] {
        return platform.report().value("wave_status", "").find("completed") != std::string::npos;
    }));
    platform.node(former).kill();
    const std::size_t other = nodeOtherThan(former);
    REQUIRE(waitUntil([&] {
        return platform.node(other).log().find("\"wave_completed\"") != std::string::npos;
    }));
    const std::string job = platform.submit(other, taskMs, 2);
    REQUIRE_FALSE(job.empty());
    checkAllCompleted(platform, other, {job});
}
