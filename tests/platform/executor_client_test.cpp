#include "platform/executor_client.h"

#include <doctest/doctest.h>

#include <string>

using namespace daisypass;

namespace {

hold_result answerWithEnds(int count)
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
    hold_result read;
    client.hold({"e1", "127.0.0.1:1"}, {}, [&read](hold_result result) {
        read = std::move(result);
    });
    return read;
}

} // namespace

// Guards against runs whose ends are behind a full page being taken as lost.
TEST_CASE("a list with the most ends that a call returns says that more may follow")
{
    CHECK_FALSE(answerWithEnds(0).moreEnds);
    CHECK_FALSE(answerWithEnds(499).moreEnds);
    const hold_result full = answerWithEnds(500);
    CHECK(full.moreEnds);
    CHECK(full.ends.size() == 500);
}
