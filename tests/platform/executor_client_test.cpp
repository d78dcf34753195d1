#include "platform/executor_client.h"

#include <doctest/doctest.h>

#include <string>

using namespace daisypass;

namespace {

poll_result answerWithEnds(int count)
{
    std::string ends;
    for (int number = 1; number <= count; ++number) {
        ends += (number == 1 ? "" : ",") + std::string("[") + std::to_string(number) + R"(,"j1.0.0.0",1,"failed",""])";
    }
    executor_client client([&ends](http_call, std::function<void(http_result)> done) {
        http_result result;
        result.state = send_state::Answered;
        result.response.status = 200;
        result.response.body = R"({"ClockMs":5,"born":7,"Running":[],"EndedRuns":[)" + ends + "]}";
        done(std::move(result));
    });
    poll_result read;
    client.send({{"e1", "127.0.0.1:1"}, poll_order{}}, [&read](executor_answer answer) {
        read = std::get<poll_result>(std::move(answer));
    });
    return read;
}

} // namespace

// Guards against treating runs as lost whose ends don't fit in a full answer.
TEST_CASE("a list of ends with the maximum length reports that more may follow")
{
    CHECK_FALSE(answerWithEnds(0).moreEnds);
    CHECK_FALSE(answerWithEnds(499).moreEnds);
    const poll_result full = answerWithEnds(500);
    CHECK(full.moreEnds);
    CHECK(full.ends.size() == 500);
}
