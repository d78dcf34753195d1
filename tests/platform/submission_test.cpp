#include "platform/records.h"

#include <doctest/doctest.h>

#include <limits>
#include <optional>
#include <string>

using namespace daisypass;

namespace {

std::string jobOf(int steps, int tasks, const std::string &others = {})
{
    std::string body = R"({"Spec":"","Steps":[)";
    for (int step = 0; step < steps; ++step) {
        body += (step > 0 ? R"(,{"Count":)" : R"({"Count":)") + std::to_string(tasks) + "}";
    }
    return body + ']' + others + '}';
}

std::string jobWithStep(const std::string &members)
{
    return R"({"Steps":[{)" + members + "}]}";
}

std::optional<sched::job_spec> read(const std::string &body)
{
    failure reason;
    return readSubmission(body, reason);
}

bool isReadable(const std::string &body)
{
    return read(body).has_value();
}

} // namespace

// Guards against a job whose tasks take more memory than a lease holder has, so that each holder ends when it reads the job.
TEST_CASE("a submission is refused if no lease holder could carry the job")
{
    SUBCASE("because its steps have too many tasks together")
    {
        CHECK(isReadable(jobOf(5, 10'000)));
        CHECK_FALSE(isReadable(jobOf(6, 10'000)));
        CHECK_FALSE(isReadable(jobOf(1'000, 10'000)));
    }
    SUBCASE("because its occurrences can't be numbered or timed")
    {
        CHECK(isReadable(jobOf(1, 1, R"(,"RepeatCount":3,"FirstMs":1000,"IntervalMs":500)")));
        CHECK_FALSE(isReadable(jobOf(1, 1, R"(,"RepeatCount":4294967297,"FirstMs":1000,"IntervalMs":500)")));
        CHECK_FALSE(isReadable(jobOf(1, 1, R"(,"RepeatCount":-1,"FirstMs":1000,"IntervalMs":500)")));
        CHECK_FALSE(isReadable(jobOf(1, 1, R"(,"RepeatCount":3,"FirstMs":1000,"IntervalMs":-500)")));
        CHECK_FALSE(isReadable(jobOf(1, 1, R"(,"RepeatCount":3,"FirstMs":1000,"IntervalMs":9223372036854775807)")));
        CHECK_FALSE(isReadable(jobOf(1, 1, R"(,"RepeatCount":3,"FirstMs":9223372036854775807,"IntervalMs":500)")));
    }
}

// Guards against one caller's numbers that overflow the sums over all tasks, by which VMs are given to pools and room to callers.
TEST_CASE("a submission is refused if its numbers can't be counted with")
{
    SUBCASE("the greatest demands and times are accepted")
    {
        CHECK(isReadable(jobWithStep(R"("Cpu":1000000000,"MemMb":1000000000,"Gpu":0)")));
        CHECK(isReadable(jobWithStep(R"("EstimateMs":1000000000000,"TargetMs":1000000000000)")));
    }
    SUBCASE("what is below zero, or above the limits, is refused")
    {
        for (const char *name : {"Cpu", "MemMb", "Gpu", "EstimateMs", "TargetMs"}) {
            for (const char *value : {"-1", "1000000000001", "9223372036854775807", "18446744073709551615", "1e300"}) {
                CAPTURE(name);
                CAPTURE(value);
                CHECK_FALSE(isReadable(jobWithStep('"' + std::string(name) + "\":" + value)));
            }
        }
    }
    SUBCASE("no number loses its upper bits")
    {
        // 2 to the power of 32, and one more.
        CHECK_FALSE(isReadable(jobWithStep(R"("Count":4294967297)")));
        CHECK_FALSE(isReadable(R"({"Steps":[{"Count":1},{"Count":1,"After":[4294967296]}]})"));
        const std::optional<sched::job_spec> job = read(jobWithStep(R"("AllowMiss":4294967297,"AntiAffinity":4294967297)"));
        REQUIRE(job);
        CHECK(job->steps[0].allowedUnavailable == std::numeric_limits<int>::max());
        CHECK(job->steps[0].maxTasksPerExecutor == std::numeric_limits<int>::max());
    }
}

// A job of a former version has been accepted, so that it must be read.
TEST_CASE("a stored job with numbers that can't be counted with has the nearest ones that can")
{
    failure reason;
    const std::optional<sched::job_spec> job
        = readJob(R"({"Steps":[{"Cpu":9223372036854775807,"MemMb":-5,"EstimateMs":9223372036854775807}],"host":"h","prefix":"/p/"})", reason);
    REQUIRE(job);
    CHECK(job->steps[0].demand.cpu == 1'000'000'000);
    CHECK(job->steps[0].demand.memoryMb == 0);
    CHECK(job->steps[0].estimateMs == 1'000'000'000'000);
}
