#include "front_fixture.h"

#include "base/clock.h"
#include "node/queue_counts.h"
#include "node/tables.h"

#include <doctest/doctest.h>

using namespace daisypass;

namespace {

constexpr std::size_t maxRowBytes = 65'536;

/** A node's front on a store whose counts were complete some time ago; no counts if the time isn't given. */
class counting_front : public front_fixture
{
public:
    explicit counting_front(std::optional<std::int64_t> countsAgeMs)
    {
        if (countsAgeMs) {
            storeCounts({steadyMillis() - *countsAgeMs, {{bookingQueue, 7}}});
        }
    }

    void storeCounts(const queue_counts &counts)
    {
        row_transaction transaction;
        const std::vector<std::string> rows = writeQueueCounts(counts, maxRowBytes);
        for (std::size_t number = 0; number < rows.size(); ++number) {
            transaction.puts.push_back({tables::countsRow(number), rows[number]});
        }
        REQUIRE(transact(transaction) == store_status::Ok);
    }
};

} // namespace

TEST_CASE("a node gives a count of waiting jobs only while it includes all jobs that were accepted some seconds ago")
{
    SUBCASE("recent counts are given, and a queue that they don't name has no waiting jobs")
    {
        counting_front front(1'000);
        CHECK(front.request("GET", "/book/").body == R"({"Waiting":7})");
        CHECK(front.request("GET", "/grind/").body == R"({"Waiting":0})");
    }
    // Guards against the count 0 that was given for a queue whose jobs the lease holder hadn't read yet.
    SUBCASE("without counts the node says that it can't give one")
    {
        counting_front front(std::nullopt);
        CHECK(front.request("GET", "/book/").status == 503);
    }
    // Guards against counts of a lease holder that is seconds behind with the jobs, or that was replaced.
    SUBCASE("counts that lack the jobs of the last seconds aren't given")
    {
        counting_front front(4'500);
        const http_response answer = front.request("GET", "/book/");
        CHECK(answer.status == 503);
        CHECK(findHeader(answer.headers, "Retry-After") == "1");
        CHECK(front.request("GET", "/grind/").status == 503);
    }
}

// Guards against a refusal that is taken for a failure of the store: all further requests of the node were sent to other nodes for a second.
TEST_CASE("a refused count doesn't send other requests of the node elsewhere")
{
    counting_front front(4'500);
    CHECK(front.request("GET", "/book/").status == 503);
    CHECK(front.request("POST", "/book/0123456789abcdef", R"({"Steps":[{"Count":1}]})").status == 200);
    CHECK(front.forwardedRequests() == 0);
}

TEST_CASE("counts of waiting jobs are read back as they were written")
{
    const queue_counts written{1'234, {{bookingQueue, 3}, {grinderQueue, 0}}};
    const std::vector<std::string> rows = writeQueueCounts(written, maxRowBytes);
    REQUIRE(rows.size() == 1);
    const std::optional<queue_counts> read = readQueueCounts(rows);
    REQUIRE(read);
    CHECK(read->completeUntil == 1'234);
    CHECK(read->waiting == std::map<sched::queue_key, std::int64_t>{{bookingQueue, 3}});

    for (const char *damaged : {"", "[]", R"({"complete_until":1})", R"({"complete_until":1,"waiting":[["a","b"]]})", "3 1700000000000"}) {
        CAPTURE(damaged);
        CHECK_FALSE(readQueueCounts(std::vector<std::string>{damaged}));
    }
}

// Guards against counts that the store refuses for good, so that no queue's count is given any more.
TEST_CASE("counts of more queues than fit into one row")
{
    constexpr std::int64_t queues = 3'000;
    counting_front front(std::nullopt);
    queue_counts written{steadyMillis(), {{bookingQueue, 7}}};
    for (std::int64_t number = 1; number < queues; ++number) {
        written.waiting[{"queue-" + std::to_string(number) + ".shop.example", "/a-prefix/"}] = number;
    }
    std::vector<std::string> rows = writeQueueCounts(written, maxRowBytes);
    for (const std::string &row : rows) {
        CHECK(row.size() <= maxRowBytes);
    }

    SUBCASE("are read back as they were written")
    {
        const std::optional<queue_counts> read = readQueueCounts(rows);
        REQUIRE(read);
        CHECK(read->completeUntil == written.completeUntil);
        CHECK(read->waiting == written.waiting);
    }
    SUBCASE("are given by a node, also while rows of earlier counts are left over")
    {
        front.storeCounts(written);
        CHECK(front.request("GET", "/book/").body == R"({"Waiting":7})");
        front.storeCounts({steadyMillis(), {{grinderQueue, 2}}});
        CHECK(front.request("GET", "/book/").body == R"({"Waiting":0})");
        CHECK(front.request("GET", "/grind/").body == R"({"Waiting":2})");
    }
    SUBCASE("aren't given while one of the rows is missing")
    {
        rows.pop_back();
        CHECK_FALSE(readQueueCounts(rows));
    }
    SUBCASE("aren't taken for complete by a version that reads the first row only")
    {
        CHECK(rows.front().find("waiting") == std::string::npos);
    }
}
