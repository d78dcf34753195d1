#include "platform/records.h"

#include <doctest/doctest.h>

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

bool isReadable(const std::string &body)
{
    failure reason;
    return readSubmission(body, reason).has_value();
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
    }
}
