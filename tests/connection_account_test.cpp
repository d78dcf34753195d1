#include "http/connection_account.h"

#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <vector>

using namespace daisypass;

namespace {

constexpr std::size_t kilobyte = 1'024;
constexpr std::size_t piece = 4 * kilobyte;

// An account for 8 connections, and what it did to them.
class account_story
{
public:
    explicit account_story(account_limits limits = {.bytes = 1'024 * kilobyte, .connections = 8, .requestBytes = 512 * kilobyte})
        : account(limits, [this](client_refusal reason) {
            ++refusals[reason];
        })
    {
    }

    connection_account::number open()
    {
        const connection_account::number expected = ++m_opened;
        const std::optional<connection_account::number> number = account.open(now, [this, expected](client_refusal, bool requestBegun) {
            closed.push_back(expected);
            refusedBegun += requestBegun ? 1 : 0;
        });
        REQUIRE(number);
        REQUIRE(*number == expected);
        CHECK(account.beforeRead(*number, now) == read_decision::Read);
        return *number;
    }

    // Reads up to `bytes` of a request, piece by piece, and returns the last decision.
    read_decision read(connection_account::number connection, std::size_t bytes)
    {
        read_decision decision = read_decision::Read;
        for (std::size_t done = 0; done < bytes && decision == read_decision::Read; done += piece) {
            account.afterRead(connection, piece, 0, now);
            decision = account.beforeRead(connection, now);
        }
        return decision;
    }

    std::map<client_refusal, int> refusals;
    std::vector<connection_account::number> closed;
    int refusedBegun = 0;
    connection_account::time_ms now = 1'000;
    connection_account account;

private:
    connection_account::number m_opened = 0;
};

} // namespace

// Guards against half-read requests of many connections that take more memory than the machine has.
TEST_CASE("a connection account keeps the memory of requests below its limit")
{
    account_story story;

    SUBCASE("what has been read is charged before more is read, and no longer after the answer")
    {
        const connection_account::number client = story.open();
        CHECK(story.account.bytesInUse() == connectionBytes);
        story.read(client, 100 * kilobyte);
        CHECK(story.account.bytesInUse() == connectionBytes + 200 * kilobyte);
        story.account.beforeWrite(client, 500, story.now);
        story.account.afterWrite(client);
        CHECK(story.account.bytesInUse() == connectionBytes + 500);
        CHECK(story.account.beforeRead(client, story.now) == read_decision::Read);
        CHECK(story.account.bytesInUse() == connectionBytes);
        story.account.close(client);
        CHECK(story.account.bytesInUse() == 0);
    }
    SUBCASE("the largest request that makes no progress is closed first")
    {
        const connection_account::number small = story.open();
        const connection_account::number large = story.open();
        CHECK(story.read(small, 150 * kilobyte) == read_decision::Read);
        CHECK(story.read(large, 200 * kilobyte) == read_decision::Read);
        story.now += 3'000;
        CHECK(story.read(story.open(), 200 * kilobyte) == read_decision::Read);
        CHECK(story.closed == std::vector<connection_account::number>{large});
        CHECK(story.refusedBegun == 1);
        CHECK(story.refusals[client_refusal::MemoryLimit] == 1);
    }
    SUBCASE("while all make progress a large request waits, and a small one is served in place of the largest")
    {
        const connection_account::number largest = story.open();
        CHECK(story.read(largest, 220 * kilobyte) == read_decision::Read);
        CHECK(story.read(story.open(), 200 * kilobyte) == read_decision::Read);
        CHECK(story.read(story.open(), 100 * kilobyte) == read_decision::Pause);
        CHECK(story.closed.empty());
        CHECK(story.read(story.open(), piece) == read_decision::Read);
        CHECK(story.closed == std::vector<connection_account::number>{largest});
    }
    SUBCASE("after a second of waiting the largest request is closed")
    {
        const connection_account::number first = story.open();
        CHECK(story.read(first, 220 * kilobyte) == read_decision::Read);
        CHECK(story.read(story.open(), 200 * kilobyte) == read_decision::Read);
        const connection_account::number waiting = story.open();
        CHECK(story.read(waiting, 100 * kilobyte) == read_decision::Pause);
        story.now += 500;
        CHECK(story.account.beforeRead(waiting, story.now) == read_decision::Pause);
        story.now += 500;
        CHECK(story.account.beforeRead(waiting, story.now) == read_decision::Read);
        CHECK(story.closed == std::vector<connection_account::number>{first});
        CHECK(story.account.bytesInUse() <= 1'024 * kilobyte);
    }
    SUBCASE("a request that waits and is the largest is refused itself")
    {
        CHECK(story.account.admit(800 * kilobyte, story.now));
        const connection_account::number waiting = story.open();
        CHECK(story.read(waiting, 150 * kilobyte) == read_decision::Pause);
        story.now += 1'000;
        CHECK(story.account.beforeRead(waiting, story.now) == read_decision::Refuse);
        CHECK(story.closed == std::vector<connection_account::number>{waiting});
    }
    SUBCASE("a request that is being handled is never closed, and its copies are charged")
    {
        const connection_account::number client = story.open();
        story.account.afterRead(client, piece, 0, story.now);
        CHECK(story.account.admit(900 * kilobyte, story.now));
        story.now += 60'000;
        CHECK_FALSE(story.account.admit(900 * kilobyte, story.now));
        CHECK(story.closed.empty());
        story.account.release(900 * kilobyte);
        CHECK(story.account.admit(900 * kilobyte, story.now));
    }
    SUBCASE("an answer is charged above the limit, and connections without a request stay")
    {
        const connection_account::number idle = story.open();
        const connection_account::number client = story.open();
        story.account.beforeWrite(client, 2'000 * kilobyte, story.now);
        CHECK(story.account.bytesInUse() > 1'024 * kilobyte);
        CHECK(story.account.beforeRead(idle, story.now) == read_decision::Read);
        CHECK(story.closed.empty());
    }
    SUBCASE("one request may not take more than its share, whether in bytes or in chunks")
    {
        CHECK(story.read(story.open(), 300 * kilobyte) == read_decision::Refuse);
        const connection_account::number chunked = story.open();
        constexpr std::size_t lines = 10'000;
        story.account.afterRead(chunked, piece, lines, story.now);
        CHECK(story.account.beforeRead(chunked, story.now) == read_decision::Refuse);
        CHECK(story.refusals[client_refusal::RequestTooLarge] == 2);
    }
}

// Guards against clients without progress that hold all connections.
TEST_CASE("a connection account closes a connection for a new one when all are in use")
{
    account_story story;
    std::vector<connection_account::number> clients;
    for (int i = 0; i < 8; ++i) {
        clients.push_back(story.open());
    }

    SUBCASE("a slow request first, before connections that wait for their next request")
    {
        story.account.afterRead(clients[5], 1, 0, story.now);
        CHECK(story.account.beforeRead(clients[5], story.now) == read_decision::Read);
        story.now += 3'000;
        story.open();
        CHECK(story.closed == std::vector<connection_account::number>{clients[5]});
    }
    SUBCASE("else the one that has waited longest")
    {
        story.open();
        CHECK(story.closed == std::vector<connection_account::number>{clients[0]});
        CHECK(story.refusedBegun == 0);
    }
    SUBCASE("an answer that the client hasn't read for two seconds counts as no progress")
    {
        story.account.afterRead(clients[2], 100, 2, story.now);
        story.account.beforeWrite(clients[2], 100, story.now);
        story.now += 3'000;
        story.open();
        CHECK(story.closed == std::vector<connection_account::number>{clients[2]});
    }
    SUBCASE("none if all have requests that are being handled; the new one is refused")
    {
        for (connection_account::number client : clients) {
            story.account.afterRead(client, 100, 2, story.now);
        }
        CHECK_FALSE(story.account.open(story.now, {}));
        CHECK(story.closed.empty());
        CHECK(story.refusals[client_refusal::ConnectionLimit] == 1);
    }
}

// Guards against requests that arrive one byte at a time.
TEST_CASE("a connection account refuses requests that arrive more slowly than the minimum rate")
{
    account_story story;
    const connection_account::number client = story.open();
    story.now += 60'000; // An idle connection isn't slow.
    story.account.afterRead(client, 1, 0, story.now);
    CHECK(story.account.beforeRead(client, story.now) == read_decision::Read);
    story.now += 9'000;
    story.account.afterRead(client, 1, 0, story.now);
    CHECK(story.account.beforeRead(client, story.now) == read_decision::Read);
    story.now += 1'000;
    story.account.afterRead(client, 1, 0, story.now);
    CHECK(story.account.beforeRead(client, story.now) == read_decision::Refuse);
    CHECK(story.refusals[client_refusal::RequestTooSlow] == 1);
}
