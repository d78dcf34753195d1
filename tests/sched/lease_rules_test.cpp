#include "sched/lease_rules.h"

#include <doctest/doctest.h>

using namespace daisypass::sched;

namespace {

constexpr time_ms leaseMs = 2'000;

lease_rules rulesOf(const std::string &node, std::int64_t incarnation)
{
    return lease_rules({node, incarnation, 100}, leaseMs);
}

} // namespace

TEST_CASE("a lease is taken only when its holder is surely gone")
{
    lease_rules rules = rulesOf("n1", 7);

    SUBCASE("it is not acquired before it has been read")
    {
        CHECK_FALSE(rules.mayAcquire(100'000));
    }
    SUBCASE("a lease that nobody holds is acquired after this node's delay")
    {
        rules.onRowRead(std::nullopt, 0, 1'000);
        CHECK_FALSE(rules.mayAcquire(1'050));
        CHECK(rules.mayAcquire(1'100));
    }
    SUBCASE("another node's lease is acquired when it has not been renewed for its whole duration")
    {
        rules.onRowRead(lease_row{"n2", 1, 3, false, false}, 10, 1'000);
        CHECK_FALSE(rules.mayAcquire(3'000));
        rules.onRowRead(lease_row{"n2", 1, 3, false, false}, 11, 2'900);
        CHECK_FALSE(rules.mayAcquire(4'900));
        CHECK(rules.mayAcquire(5'000));
    }
    SUBCASE("a store outage doesn't count, because the holder could not renew either")
    {
        rules.onRowRead(lease_row{"n2", 1, 3, false, false}, 10, 1'000);
        rules.onStoreUnreachable();
        CHECK_FALSE(rules.mayAcquire(9'000));
        rules.onRowRead(lease_row{"n2", 1, 3, false, false}, 10, 9'000);
        CHECK_FALSE(rules.mayAcquire(11'000));
        CHECK(rules.mayAcquire(11'100));
    }
    SUBCASE("the lease of an earlier incarnation of this node is acquired at once")
    {
        rules.onRowRead(lease_row{"n1", 6, 3, false, false}, 10, 1'000);
        CHECK(rules.mayAcquire(1'000));
    }
    SUBCASE("a released lease is acquired after the delay")
    {
        rules.onRowRead(lease_row{"n2", 1, 3, true, false}, 10, 1'000);
        CHECK(rules.mayAcquire(1'100));
    }
}

TEST_CASE("the lease of a holder whose process has ended is acquired before it expires")
{
    // No task was started for 2.1 s after a holder was killed, which was too long for the jobs of the first seconds of a burst.
    lease_rules rules({"n1", 5, 100}, 2'000);
    rules.onRowRead(lease_row{"n2", 1, 3, false}, 10, 1'000);
    CHECK_FALSE(rules.suspectsHolder(1'700));
    REQUIRE(rules.suspectsHolder(1'850));

    SUBCASE("it refuses two connections: the lease is acquired at once")
    {
        rules.onHolderProbed(true);
        CHECK_FALSE(rules.mayAcquire(1'900));
        rules.onHolderProbed(true);
        CHECK(rules.mayAcquire(2'000));
    }
    SUBCASE("it accepts a connection in between: it is alive")
    {
        rules.onHolderProbed(true);
        rules.onHolderProbed(false);
        rules.onHolderProbed(true);
        CHECK_FALSE(rules.mayAcquire(2'000));
    }
    SUBCASE("it doesn't answer: the lease has to expire")
    {
        rules.onHolderProbed(false);
        rules.onHolderProbed(false);
        CHECK_FALSE(rules.mayAcquire(2'900));
        CHECK(rules.mayAcquire(3'100));
    }
    SUBCASE("it renews after refusals: another process on its machine holds the lease")
    {
        rules.onHolderProbed(true);
        rules.onHolderProbed(true);
        rules.onRowRead(lease_row{"n2", 2, 4, false}, 11, 1'990);
        CHECK_FALSE(rules.mayAcquire(2'000));
        CHECK_FALSE(rules.mayAcquire(2'900));
    }
    SUBCASE("there was a store outage: the holder could not renew either")
    {
        rules.onHolderProbed(true);
        rules.onHolderProbed(true);
        rules.onStoreUnreachable();
        rules.onRowRead(lease_row{"n2", 1, 3, false}, 10, 5'000);
        CHECK_FALSE(rules.mayAcquire(5'100));
    }
}

TEST_CASE("small machines leave the lease to large ones")
{
    // A machine with 0.12 core acquired the lease for 350 executors after a rolling restart.
    CHECK(candidateDelay("small", 0.12, 0.5) > candidateDelay("large", 0.5, 0.5) + 1'000);
    CHECK(candidateDelay("only", 0.25, 0.25) < 200);
    CHECK(isMuchSmaller(0.12, 0.5));
    CHECK_FALSE(isMuchSmaller(0.25, 0.25));
}

TEST_CASE("a lease row survives a round trip")
{
    const std::optional<lease_row> row = readLease(writeLease({"n1", 42, 3, true, true}));
    REQUIRE(row);
    CHECK(row->node == "n1");
    CHECK(row->incarnation == 42);
    CHECK(row->term == 3);
    CHECK(row->released);
    CHECK(row->stopped);
    CHECK_FALSE(readLease("not json"));
    CHECK_FALSE(readLease("{}"));
}

TEST_CASE("a new holder knows until when earlier ones may have extended the leases of executors")
{
    lease_rules rules = rulesOf("n1", 7);

    SUBCASE("nobody held the lease before")
    {
        rules.onRowRead(std::nullopt, 0, 1'000);
        CHECK(rules.earlierGrantsUntil(1'100) == 1'100);
    }
    SUBCASE("a holder that may be alive counts from the last renewal that was read")
    {
        rules.onRowRead(lease_row{"n2", 1, 3, false, false}, 10, 1'000);
        rules.onRowRead(lease_row{"n2", 1, 3, false, false}, 11, 1'500);
        CHECK(rules.earlierGrantsUntil(3'600) == 1'500 + grantsWithoutRenewalMs);
    }
    SUBCASE("a holder that refuses connections may be alive behind a broken link")
    {
        rules.onRowRead(lease_row{"n2", 1, 3, false, false}, 10, 1'000);
        rules.onHolderProbed(true);
        rules.onHolderProbed(true);
        REQUIRE(rules.mayAcquire(1'900));
        CHECK(rules.earlierGrantsUntil(1'900) == 1'000 + grantsWithoutRenewalMs);
    }
    SUBCASE("after a store outage the last renewal may have been stored at any time during it")
    {
        rules.onRowRead(lease_row{"n2", 1, 3, false, false}, 10, 1'000);
        rules.onStoreUnreachable();
        CHECK(rules.earlierGrantsUntil(9'000) == 9'000 + grantsWithoutRenewalMs);
    }
    SUBCASE("a holder that released the lease has stopped, and so has an earlier incarnation of this node")
    {
        rules.onRowRead(lease_row{"n2", 1, 3, true, true}, 10, 1'000);
        CHECK(rules.earlierGrantsUntil(1'100) == 1'000);
        rules.onRowRead(lease_row{"n1", 6, 4, false, false}, 11, 2'000);
        CHECK(rules.earlierGrantsUntil(2'100) == 2'000);
    }
    SUBCASE("the holder before a short term may still be alive")
    {
        rules.onRowRead(lease_row{"n2", 1, 3, true, true, 3'200}, 10, 1'000);
        CHECK(rules.earlierGrantsUntil(1'100) == 4'200);
        rules.onRowRead(lease_row{"n2", 1, 3, true, true, 100}, 11, 4'000);
        CHECK(rules.earlierGrantsUntil(4'050) == 4'100);
    }
    SUBCASE("the row stores the time, and a row without it counts with the longest")
    {
        const std::optional<lease_row> read = readLease(writeLease({"n2", 1, 3, false, false, 3'200}));
        REQUIRE(read);
        CHECK(read->earlierGrantsMs == 3'200);
        const std::optional<lease_row> withoutFigure = readLease(R"({"node":"n2","term":3})");
        REQUIRE(withoutFigure);
        CHECK(withoutFigure->earlierGrantsMs == grantsWithoutRenewalMs);
    }
}

// Guards against a holder that counts a renewal from the retry when an earlier call stored it: it extended leases 1.6 s longer than its
// successor could know.
TEST_CASE("a retried renewal counts from the earliest call that may have stored it")
{
    renewal_attempts attempts;
    attempts.sent(1'000);
    attempts.sent(2'560);

    SUBCASE("the retry finds it stored")
    {
        CHECK(attempts.storedAfter(true) == 1'000);
    }
    SUBCASE("the retry stores it")
    {
        CHECK(attempts.storedAfter(false) == 2'560);
    }
}
