#include "node/job_admission.h"

#include "base/clock.h"
#include "front_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass;

namespace {

constexpr sched::job_size ordinaryJob{4'000, false};
constexpr sched::job_size largeJob{500'000, true};
const std::string body = R"({"Spec":"ms=1","Steps":[{"Count":2,"Cpu":500,"MemMb":256,"EstimateMs":300}]})";

} // namespace

// Guards against nodes that accept more jobs than the lease holder can carry before it has counted them.
TEST_CASE("a node accepts jobs as far as the lease holder has room")
{
    job_admission admission;

    SUBCASE("all of them before a holder has told its room")
    {
        CHECK_FALSE(admission.decide(largeJob, 100));
    }
    SUBCASE("less those that it has accepted since")
    {
        admission.onRoom({10'000, 10'000, 0}, 1'000);
        CHECK_FALSE(admission.decide(ordinaryJob, 1'100));
        CHECK_FALSE(admission.decide(ordinaryJob, 1'100));
        const std::optional<job_refusal> refusal = admission.decide(ordinaryJob, 1'200);
        REQUIRE(refusal);
        CHECK(refusal->freeBytes == 2'000);
        CHECK(refusal->ageMs == 200);

        SUBCASE("also when the holder tells its room before it has counted them")
        {
            admission.onRoom({10'000, 10'000, 0}, 1'500);
            CHECK(admission.decide(ordinaryJob, 1'500));
        }
        SUBCASE("until the holder has counted them")
        {
            admission.onRoom({10'000, 10'000, 0}, 4'000);
            CHECK_FALSE(admission.decide(ordinaryJob, 4'000));
        }
    }
    SUBCASE("ordinary ones beside a full share of large ones")
    {
        admission.onRoom({1'000'000, 0, 0}, 1'000);
        CHECK(admission.decide(largeJob, 1'000));
        CHECK_FALSE(admission.decide(ordinaryJob, 1'000));
    }
    SUBCASE("and says when room is expected")
    {
        admission.onRoom({0, 0, 1'000}, 1'000);
        CHECK(admission.decide(ordinaryJob, 1'000)->retryAfterSeconds == 5);
    }
}

// Guards against a refusal that says "not run" of a job that was accepted.
TEST_CASE("a job for which the lease holder has no room")
{
    front_fixture node;
    const std::string path = "/book/0123456789abcdef";

    SUBCASE("is refused with the time of the next attempt")
    {
        node.front().admission().onRoom({0, 0, 0}, steadyMillis());
        const http_response refused = node.request("POST", path, body);
        CHECK(refused.status == 429);
        CHECK_FALSE(findHeader(refused.headers, "Retry-After").empty());
        CHECK(node.request("GET", path).status == 410);
    }
    SUBCASE("is accepted again if it was accepted before")
    {
        CHECK(node.request("POST", path, body).status == 200);
        node.front().admission().onRoom({0, 0, 0}, steadyMillis());
        CHECK(node.request("POST", path, body).status == 200);
    }
}
