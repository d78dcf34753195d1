#include "node/key_check.h"
#include "node/key_lease.h"

#include <doctest/doctest.h>

using namespace daisypass;

namespace {

constexpr sched::time_ms revocationMs = 5'000;
constexpr sched::time_ms applyMs = 3'000;

key_rules strictRules()
{
    return {true, true, revocationMs, applyMs};
}

} // namespace

// Guards against a call with a revoked key that runs later than the bound on a node that hasn't learned of the revocation (CONFIG).
TEST_CASE("a node lets keys through only while it knows that they may still be in force")
{
    key_lease lease(strictRules());

    SUBCASE("not before the store has confirmed a configuration")
    {
        CHECK_FALSE(lease.mayAdmit(1'000));
        CHECK_FALSE(lease.mayRefuse(1'000));
        CHECK_FALSE(lease.age(1'000));
    }
    SUBCASE("until shortly before the bound, counted from the time at which the read was sent")
    {
        lease.confirm(10'000);
        CHECK(lease.mayAdmit(10'000));
        CHECK(lease.mayAdmit(14'700));
        CHECK_FALSE(lease.mayAdmit(10'000 + revocationMs - 1));
    }
    SUBCASE("also if its clock runs 2% slow")
    {
        lease.confirm(10'000);
        const sched::time_ms shownAfterBound = 10'000 + revocationMs * 98 / 100;
        CHECK_FALSE(lease.mayAdmit(shownAfterBound));
        CHECK_FALSE(lease.mayAdmit(shownAfterBound - 1));
    }
    SUBCASE("not after it was frozen for longer, whatever it knew before")
    {
        lease.confirm(10'000);
        CHECK(lease.mayAdmit(10'100));
        CHECK_FALSE(lease.mayAdmit(18'000));
    }
    SUBCASE("not by the answer to an earlier read, which arrives late")
    {
        lease.confirm(10'000);
        lease.confirm(12'000);
        lease.confirm(11'000);
        CHECK(lease.age(13'000) == 1'000);
        // The read that is answered after the end of the lease was sent so early that it confirms nothing any more.
        lease.confirm(12'500);
        CHECK_FALSE(lease.mayAdmit(17'500));
    }
    SUBCASE("again as soon as the store answers")
    {
        lease.confirm(10'000);
        CHECK_FALSE(lease.mayAdmit(30'000));
        lease.confirm(30'050);
        CHECK(lease.mayAdmit(30'100));
    }
    SUBCASE("but refuses an unknown key only while the key can't have been added in time")
    {
        lease.confirm(10'000);
        CHECK(lease.mayRefuse(10'000 + applyMs / 2));
        CHECK_FALSE(lease.mayRefuse(10'000 + applyMs - 1));
        CHECK(lease.mayAdmit(10'000 + applyMs));
    }
}

TEST_CASE("where revocation isn't strict, a node that is cut off lets known keys through for good")
{
    key_lease lease({false, false, revocationMs, applyMs});
    CHECK(lease.mayAdmit(1'000));
    lease.confirm(1'000);
    CHECK(lease.mayAdmit(1'000'000));
    CHECK_FALSE(lease.mayRefuse(1'000'000));
}

TEST_CASE("the decision on a call by its key")
{
    const tenant_keys keys(std::vector<sched::tenant_config>{{"north", {"k1"}, 1.0, {}}});
    sched::queue_config queue;
    const key_knowledge fresh{true, true};
    const key_knowledge stale{false, false};

    SUBCASE("a known key is let through as its tenant's")
    {
        const key_decision decision = decideOnKey(queue, true, keys, "k1", fresh);
        CHECK(decision.verdict == key_verdict::Admitted);
        CHECK(decision.tenant == "north");
    }
    SUBCASE("an unknown or missing key is refused")
    {
        CHECK(decideOnKey(queue, true, keys, "k2", fresh).verdict == key_verdict::Unknown);
        CHECK(decideOnKey(queue, true, keys, std::nullopt, fresh).verdict == key_verdict::Missing);
    }
    // Guards against a 401 for a key that a newer configuration has added.
    SUBCASE("nothing is decided by stale knowledge")
    {
        CHECK(decideOnKey(queue, true, keys, "k1", stale).verdict == key_verdict::NotFresh);
        CHECK(decideOnKey(queue, true, keys, "k2", stale).verdict == key_verdict::NotFresh);
        CHECK(decideOnKey(queue, true, keys, std::nullopt, stale).verdict == key_verdict::NotFresh);
    }
    SUBCASE("a known key may be let through for longer than an unknown one may be refused")
    {
        const key_knowledge between{true, false};
        CHECK(decideOnKey(queue, true, keys, "k1", between).verdict == key_verdict::Admitted);
        CHECK(decideOnKey(queue, true, keys, "k2", between).verdict == key_verdict::NotFresh);
    }
    SUBCASE("public queues and deployments without tenants need no key, however old the knowledge is")
    {
        CHECK(decideOnKey(queue, false, keys, "k2", stale).verdict == key_verdict::Admitted);
        queue.isPublic = true;
        const key_decision decision = decideOnKey(queue, true, keys, "k1", stale);
        CHECK(decision.verdict == key_verdict::Admitted);
        CHECK(decision.tenant.empty());
    }
}
