// Tests of the table of outcomes in an entry.

#include "entry/outcome_table.h"

#include <doctest/doctest.h>

using namespace daisypass;

namespace {

constexpr timestamp start{0};
constexpr duration minute{60'000'000};

request_outcome completed(std::size_t bytes)
{
    request_outcome outcome;
    outcome.fate = request_fate::Completed;
    outcome.response = {200, {}, std::string(bytes, 'x')};
    return outcome;
}

} // namespace

TEST_CASE("the outcome table")
{
    outcome_table table({15 * minute, std::size_t{1} << 20});

    // Guards against a key that starts a second run.
    SUBCASE("a key belongs to the first request until its record expires")
    {
        CHECK(table.add(1, "p/t/k").result == registration_result::Added);
        const outcome_registration second = table.add(2, "p/t/k");
        CHECK(second.result == registration_result::Duplicate);
        CHECK(second.existing == 1);
        CHECK_FALSE(table.find(2));
        table.finish(1, completed(1), start);
        table.removeExpired(15 * minute - duration(1));
        CHECK(table.add(3, "p/t/k").result == registration_result::Duplicate);
        table.removeExpired(15 * minute);
        CHECK(table.size() == 0);
        CHECK(table.bytes() == 0);
        CHECK(table.add(4, "p/t/k").result == registration_result::Added);
    }

    // Guards against a ticket used by two teams, one of which would get the other's response.
    SUBCASE("a number belongs to one key")
    {
        CHECK(table.add(1, "p/t/k").result == registration_result::Added);
        CHECK(table.add(1, "p/t/k").result == registration_result::Duplicate);
        CHECK(table.add(1, "p/u/k").result == registration_result::NumberTaken);
    }

    SUBCASE("waiters are called once, and only the first call of finish counts")
    {
        int calls = 0;
        request_fate last = request_fate::Pending;
        const outcome_table::waiter waiter = [&](request_outcome outcome) {
            ++calls;
            last = outcome.fate;
        };
        CHECK_FALSE(table.wait(1, waiter));
        table.add(1, "");
        CHECK(table.wait(1, waiter));
        table.setRunning(1);
        CHECK(table.find(1)->fate == request_fate::Running);
        CHECK(calls == 0);
        table.finish(1, completed(1), start);
        table.finish(1, notRun(refusal_reason::Cancelled), start);
        table.setRunning(1);
        CHECK(calls == 1);
        CHECK(last == request_fate::Completed);
        CHECK(table.wait(1, waiter));
        CHECK(calls == 2);
    }

    SUBCASE("finishAndRemove releases the key and calls the waiters")
    {
        int calls = 0;
        table.add(1, "k");
        table.wait(1, [&](const request_outcome &) {
            ++calls;
        });
        table.finishAndRemove(1, request_outcome{});
        CHECK(calls == 1);
        CHECK(table.add(2, "k").result == registration_result::Added);
    }

    // Guards against memory that grows without limit with the size of the responses.
    SUBCASE("above the limit the oldest responses are evicted and their keys stay taken")
    {
        constexpr request_number step = 16;
        constexpr std::size_t bytes = 30'000;
        for (request_number i = 1; i <= 4; ++i) {
            CHECK(table.add(i * step, "k" + std::to_string(i)).result == registration_result::Added);
            table.finish(i * step, completed(bytes), start);
        }
        CHECK(table.find(step)->fate == request_fate::Expired);
        CHECK(table.find(4 * step)->response.body.size() == bytes);
        CHECK(table.add(99 * step, "k1").result == registration_result::Duplicate);
        CHECK(table.bytes() <= std::size_t{1} << 20);
    }

    SUBCASE("when records alone reach the limit, new ones are refused")
    {
        registration_result last = registration_result::Added;
        request_number number = 0;
        while (last == registration_result::Added && number < 100'000) {
            last = table.add(++number, "").result;
        }
        CHECK(last == registration_result::Full);
        CHECK(table.bytes() <= std::size_t{1} << 20);
    }
}
