#include "front_fixture.h"
#include "node/tables.h"

#include <doctest/doctest.h>

#include <string>

using namespace daisypass;

namespace {

const std::string job = "0123456789abcdef";

struct cancelling_front : front_fixture
{
    http_response send(const std::string &method)
    {
        return request(method, "/book/" + job, method == "POST" ? R"({"Steps":[{"Count":1}]})" : "");
    }

    /** Stores the submission as another node's write would that is late. */
    store_status storeLate()
    {
        return transact({{{tables::jobRow(job), 0}}, {{tables::jobRow(job), "a submission"}}, {}});
    }
};

} // namespace

// Guards against a job that runs after its cancelling was answered with 410, because the store did its submission late (UNASKED).
TEST_CASE("a job that is cancelled before it is known")
{
    cancelling_front front;
    REQUIRE(front.send("DELETE").status == 410);

    SUBCASE("isn't stored by a late write of its submission")
    {
        CHECK(front.storeLate() == store_status::Conflict);
    }
    SUBCASE("is refused if it is submitted again, as it never runs")
    {
        CHECK(front.send("POST").status == 503);
    }
    SUBCASE("isn't shown, and can be cancelled again")
    {
        CHECK(front.send("GET").status == 410);
        CHECK(front.send("DELETE").status == 410);
    }
}

TEST_CASE("a job that is known when it is cancelled")
{
    cancelling_front front;
    REQUIRE(front.send("POST").status == 200);

    SUBCASE("is cancelled once or more")
    {
        CHECK(front.send("DELETE").status == 200);
        CHECK(front.send("DELETE").status == 200);
        CHECK(front.send("GET").body.find("cancelled") != std::string::npos);
    }
    SUBCASE("is stored once, however often it is submitted")
    {
        const std::string row = front.value(tables::jobRow(job));
        CHECK(front.send("POST").status == 200);
        CHECK(front.value(tables::jobRow(job)) == row);
    }
}
