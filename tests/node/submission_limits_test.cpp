#include "front_fixture.h"
#include "node/tables.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>

using namespace daisypass;

namespace {

std::string jobOf(int steps)
{
    std::string body = R"({"Spec":"","Steps":[)";
    for (int i = 0; i < steps; ++i) {
        body += std::string(i > 0 ? "," : "") + R"({"Count":1,"Cpu":500,"MemMb":256,"EstimateMs":900,"Affinity":"a-rack-with-a-long-name"})";
    }
    return body + "]}";
}

} // namespace

// Guards against a job that the store can never take: callers must learn that it never runs, and the store's refusal would hold up others.
TEST_CASE("a job whose row is above the store's limit")
{
    front_fixture node;
    node.front().limitRows(20'000);
    const std::string id = "0123456789abcdef";
    const std::function<http_response(int)> submit = [&](int steps) {
        return node.request("POST", "/book/" + id, jobOf(steps));
    };

    SUBCASE("is refused with a reason by the first node, and not stored")
    {
        const http_response response = submit(400);
        CHECK(response.status == 503);
        CHECK(response.body.find("job_too_long") != std::string::npos);
        CHECK(node.forwardedRequests() == 0);
        CHECK(node.value(tables::jobRow(id)).empty());
    }
    SUBCASE("is told apart from a shorter one, which is accepted")
    {
        CHECK(submit(100).status == 200);
        CHECK_FALSE(node.value(tables::jobRow(id)).empty());
    }
}
