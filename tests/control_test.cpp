#include "control/admin_answers.h"
#include "control/configuration_service.h"
#include "control/control_lease.h"
#include "control/control_settings.h"
#include "fleet_fixture.h"

using namespace daisypass;
using namespace std::chrono_literals;

namespace {

constexpr const char *validSettings = R"({"controller": "c", "platform": "127.0.0.1:1", "admin": {"listen": "127.0.0.1:2", "token": "0123456789abcdef"}})";

// A configuration service over an in-memory store. The service makes the follower poll.
struct service_fixture
{
    memory_table table;
    memory_objects objects;
    fleet_follower follower{table_service(table), object_store(objects), {}};
    configuration_service service{follower, fleet_log(table_service(table), object_store(objects))};

    service_fixture()
    {
        follower.start();
    }

    ~service_fixture()
    {
        follower.stop();
    }

    apply_result apply(revision_number base, int minAvailable, const std::string &writeId)
    {
        return service.apply({base, {{"pools.json", poolsText(minAvailable, "none")}, {"vms.json", vmsText(4)}}, "test", writeId}, timestamp(1));
    }
};

} // namespace

TEST_CASE("Settings of daisypass-control are checked as a whole")
{
    // Guards against a controller that starts with incomplete settings, or reports only the first failure.
    std::vector<failure> failures;
    REQUIRE(parseControlSettings(validSettings, "control.json", failures));
    CHECK_FALSE(parseControlSettings(
        R"({"platform": "host:1", "admin": {"listen": "127.0.0.1:2", "token": "short"}, "step_ms": 1, "other": 1})", "control.json", failures));
    CHECK(failures.size() == 5);
}

TEST_CASE("The control lease")
{
    // Guards against two controllers that hold the lease in the same interval, and against an interval without a holder.
    memory_table table;
    control_lease first(table_service(table), "first");
    control_lease second(table_service(table), "second");
    const timestamp begin = control_lease::interval * 1'000;
    CHECK_FALSE(first.acquireOrRenew(begin, "w1"));
    CHECK(first.acquireOrRenew(begin + control_lease::takeoverDelay, "w2"));
    CHECK_FALSE(second.acquireOrRenew(begin + control_lease::takeoverDelay, "w3"));

    SUBCASE("the holder renews the lease")
    {
        const timestamp next = begin + control_lease::interval;
        CHECK_FALSE(second.acquireOrRenew(next, "w4"));
        CHECK(first.acquireOrRenew(next, "w5"));
        CHECK_FALSE(second.acquireOrRenew(next + control_lease::takeoverDelay, "w6"));
    }
    SUBCASE("another controller takes over when the holder does not renew, and the old holder notices it")
    {
        const timestamp next = begin + control_lease::interval;
        CHECK(second.acquireOrRenew(next + control_lease::takeoverDelay, "w4"));
        CHECK_FALSE(first.acquireOrRenew(next + control_lease::takeoverDelay, "w5"));
    }
    SUBCASE("the call after a lost response returns the holder")
    {
        const timestamp next = begin + control_lease::interval;
        table.loseAnswers(1);
        CHECK_FALSE(first.acquireOrRenew(next, "w4"));
        CHECK(first.acquireOrRenew(next + control_lease::takeoverDelay, "w5"));
    }
}

TEST_CASE("Applying a configuration reports the true outcome")
{
    service_fixture fixture;
    const apply_result first = fixture.apply(0, 1, "w1");
    REQUIRE(first.outcome == apply_outcome::Applied);
    failure reason;

    SUBCASE("a retry with the same write id takes effect once")
    {
        const apply_result again = fixture.apply(0, 1, "w1");
        CHECK(again.outcome == apply_outcome::Applied);
        CHECK(again.revision == first.revision);
        CHECK(fixture.service.history(0, reason)->size() == 1);
    }
    SUBCASE("a change from an old base is a conflict that reports the difference, and writes nothing")
    {
        const apply_result other = fixture.apply(0, 2, "w2");
        CHECK(other.outcome == apply_outcome::Conflict);
        CHECK(other.revision == first.revision);
        CHECK(other.difference.find("pools.json:1: -") != std::string::npos);
        CHECK(other.difference.find("pools.json:1: +") != std::string::npos);
        CHECK(fixture.service.find(0, "w2", reason)->outcome == apply_outcome::Conflict);
        CHECK(fixture.service.find(0, "w1", reason)->outcome == apply_outcome::Applied);
    }
    SUBCASE("the same files change nothing")
    {
        CHECK(fixture.apply(first.revision, 1, "w2").outcome == apply_outcome::Unchanged);
    }
    SUBCASE("an invalid file writes nothing")
    {
        CHECK(fixture.apply(first.revision, 99, "w2").outcome == apply_outcome::Invalid);
        CHECK(fixture.service.history(0, reason)->size() == 1);
    }
    SUBCASE("the outcome is found out when responses of the store are lost")
    {
        fixture.table.loseAnswers(2);
        const apply_result second = fixture.apply(first.revision, 2, "w2");
        CHECK(second.outcome == apply_outcome::Applied);
        CHECK(fixture.service.history(0, reason)->size() == 2);
    }
    SUBCASE("during an outage the change is refused, and can be made afterwards")
    {
        fixture.table.setOutage(true);
        CHECK(fixture.apply(first.revision, 2, "w2").outcome == apply_outcome::Refused);
        fixture.table.setOutage(false);
        CHECK(fixture.service.find(first.revision, "w2", reason)->outcome == apply_outcome::Refused);
        CHECK(fixture.apply(first.revision, 2, "w2").outcome == apply_outcome::Applied);
    }
}

TEST_CASE("Bodies of apply requests are checked")
{
    // Guards against an apply without a base or a write id, whose outcome could not be found out after a lost response.
    failure reason;
    CHECK(decodeApply(R"({"base": 1, "author": "a", "write_id": "w", "files": {"pools.json": "{}"}})", reason));
    for (const char *body : {"",
                             "[]",
                             R"({"base": 1, "author": "a", "files": {"p": ""}})",
                             R"({"author": "a", "write_id": "w", "files": {"p": ""}})",
                             R"({"base": -1, "author": "a", "write_id": "w", "files": {"p": ""}})",
                             R"({"base": 1, "author": "a", "write_id": "w", "files": {}})",
                             R"({"base": 1, "author": "a", "write_id": "w", "files": {"p": 3}})"}) {
        CAPTURE(body);
        CHECK_FALSE(decodeApply(body, reason));
    }
}
