#include "front_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass;

namespace {

/** The status of a submission whose write the store does without an answer. */
int submitUnanswered(int forwardedStatus)
{
    constexpr std::int64_t deadlineMs = 200;
    front_fixture node(forwardedStatus);
    node.setFault({store_fault_kind::LostAnswers});
    return node.request("POST", "/book/0123456789abcdef", R"({"Steps":[{"Count":1}]})", deadlineMs).status;
}

} // namespace

// Guards against a refusal to a caller whose job may have been stored and runs (REFUSED).
TEST_CASE("a submission that this node may have stored, and that it forwarded")
{
    SUBCASE("isn't refused because the other node has no such queue, or refuses")
    {
        for (const int status : {0, 400, 404, 413, 429, 503}) {
            CAPTURE(status);
            CHECK(submitUnanswered(status) == 504);
        }
    }
    SUBCASE("is accepted if the other node accepts it")
    {
        CHECK(submitUnanswered(200) == 200);
    }
}
