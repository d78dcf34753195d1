// Tests of claim_logic with a table in memory: one entry, and two entries that claim the same keys.

#include "entry/claim_logic.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <optional>
#include <utility>

using namespace daisypass;

namespace {

constexpr timestamp deadline{1'000'000};

claim claimOf(request_number number, const std::string &key, incarnation_number entry = 1, timestamp until = deadline)
{
    return {number, key, claimValue("e", std::to_string(entry) + "/" + std::to_string(number)), until};
}

struct ended_claim
{
    std::string result;
    timestamp at{};
};

// One entry: its claim_logic and its call to the table service in progress, if any.
class claim_actor
{
public:
    claim_actor(incarnation_number incarnation, memory_table table)
        : m_logic(incarnation)
        , m_table(std::move(table))
    {
    }

    void handle(const claim_event &event, timestamp now, std::uint64_t random = 0)
    {
        std::vector<claim_action> actions;
        m_logic.handle(event, now, random, actions);
        for (claim_action &action : actions) {
            if (write_claims *write = std::get_if<write_claims>(&action)) {
                REQUIRE_FALSE(m_write);
                m_write = write->transaction;
                ++writes;
                maxRowsPerWrite = std::max(maxRowsPerWrite, write->transaction.puts.size());
            } else if (read_claims *read = std::get_if<read_claims>(&action)) {
                m_read = read->keys;
            } else if (const claim_won *won = std::get_if<claim_won>(&action)) {
                end(won->number, "won", now);
            } else if (const claim_duplicate *duplicate = std::get_if<claim_duplicate>(&action)) {
                end(duplicate->number, "duplicate", now);
            } else if (const claim_refused *refused = std::get_if<claim_refused>(&action)) {
                end(refused->number, "refused", now);
            }
        }
    }

    /** Performs the call in progress; false if there is none. */
    bool callStore(timestamp now)
    {
        failure reason;
        if (m_write) {
            const table_transaction transaction = *std::exchange(m_write, std::nullopt);
            handle(claims_written{m_table.commit(transaction, reason)}, now);
            return true;
        }
        if (m_read) {
            claims_read read;
            const std::vector<std::string> keys = *std::exchange(m_read, std::nullopt);
            for (const std::string &key : keys) {
                const std::optional<table_row> row = m_table.read(key, reason);
                read.rows.push_back(
                    {row || reason.code == failure_code::NotFound, row ? std::optional<std::string>(row->value) : std::nullopt, row ? row->version : 0});
            }
            handle(read, now);
            return true;
        }
        return false;
    }

    std::size_t waiting() const
    {
        return m_logic.waiting();
    }

    std::map<request_number, ended_claim> ends;
    int writes = 0;
    std::size_t maxRowsPerWrite = 0;

private:
    void end(request_number number, const std::string &result, timestamp now)
    {
        CHECK_FALSE(ends.contains(number));
        ends[number] = {result, now};
    }

    claim_logic m_logic;
    memory_table m_table;
    std::optional<table_transaction> m_write;
    std::optional<std::vector<std::string>> m_read;
};

} // namespace

TEST_CASE("claims reach the store in groups")
{
    memory_table table;
    claim_actor entry(1, table);

    // Guards against one write transaction per request, which the store's write limit does not allow.
    SUBCASE("claims that arrive during a write go out together, 64 at most")
    {
        for (request_number number = 1; number <= 100; ++number) {
            entry.handle(claim_requested{claimOf(number, "k" + std::to_string(number))}, timestamp(1));
        }
        while (entry.callStore(timestamp(2))) {
        }
        CHECK(entry.writes == 3);
        CHECK(entry.maxRowsPerWrite == 64);
        CHECK(entry.ends.size() == 100);
        CHECK(entry.ends[100].result == "won");
    }

    SUBCASE("a key that exists is a duplicate and the others of the group are won")
    {
        claim_actor other(2, table);
        other.handle(claim_requested{claimOf(1, "k2", 2)}, timestamp(1));
        other.callStore(timestamp(1));
        for (request_number number = 1; number <= 3; ++number) {
            entry.handle(claim_requested{claimOf(number, "k" + std::to_string(number))}, timestamp(2));
        }
        while (entry.callStore(timestamp(3))) {
        }
        CHECK(entry.ends[1].result == "won");
        CHECK(entry.ends[2].result == "duplicate");
        CHECK(entry.ends[3].result == "won");
    }

    // Guards against a claim that is lost, or reported as a duplicate of itself, when the write succeeds but its answer is lost.
    SUBCASE("after a lost answer the row is read and the claim is won")
    {
        table.loseAnswers(1);
        entry.handle(claim_requested{claimOf(1, "k")}, timestamp(1));
        entry.callStore(timestamp(2));
        CHECK(entry.ends.empty());
        entry.handle(claim_tick{}, timestamp(200'000));
        while (entry.callStore(timestamp(200'000))) {
        }
        CHECK(entry.ends[1].result == "won");
        CHECK(entry.writes == 1);
    }

    SUBCASE("in an outage claims are retried until their deadline and are then refused")
    {
        table.setOutage(true);
        entry.handle(claim_requested{claimOf(1, "k")}, timestamp(0));
        for (timestamp now{0}; now < deadline + duration(20'000); now += duration(10'000)) {
            // The random value 0 gives a backoff of zero.
            entry.handle(claim_tick{}, now, 0);
            entry.callStore(now);
            if (now < deadline) {
                CHECK(entry.ends.empty());
            }
        }
        REQUIRE(entry.ends.contains(1));
        CHECK(entry.ends[1].result == "refused");
        CHECK(entry.ends[1].at == deadline);
        CHECK(entry.waiting() == 0);
    }

    // Guards against a claim that is won after its caller was told that the request was not run.
    SUBCASE("a write that ends after the deadline wins nothing")
    {
        entry.handle(claim_requested{claimOf(1, "k")}, timestamp(1));
        entry.handle(claim_tick{}, deadline);
        CHECK(entry.ends[1].result == "refused");
        entry.callStore(deadline + duration(1));
        CHECK(entry.ends.size() == 1);
    }

    SUBCASE("a cancelled claim is not reported")
    {
        entry.handle(claim_requested{claimOf(1, "a")}, timestamp(1));
        entry.handle(claim_requested{claimOf(2, "b")}, timestamp(1));
        entry.handle(claim_cancelled{1}, timestamp(1));
        entry.handle(claim_cancelled{2}, timestamp(1));
        while (entry.callStore(timestamp(2))) {
        }
        CHECK(entry.ends.empty());
        CHECK(entry.waiting() == 0);
    }
}

// Guards against two entries that both run a request with the same key, with lost answers and outages in any order.
TEST_CASE("at most one entry wins a key")
{
    const bool propertyHolds = rc::check([](const std::vector<std::uint8_t> &steps) {
        memory_table table;
        claim_actor entries[2] = {{1, table}, {2, table}};
        request_number numbers[2] = {0, 0};
        std::map<std::pair<int, request_number>, std::string> keys;
        timestamp now{0};
        for (const std::uint8_t step : steps) {
            now += duration(5'000);
            const int index = step & 1;
            claim_actor &entry = entries[index];
            switch ((step >> 1) % 6) {
            case 0:
            case 1: {
                const std::string key = "k" + std::to_string((step >> 4) % 4);
                const request_number number = ++numbers[index];
                keys[{index, number}] = key;
                entry.handle(claim_requested{claimOf(number, key, static_cast<incarnation_number>(index) + 1, now + duration(300'000))}, now, step);
                break;
            }
            case 2:
                table.loseAnswers(1);
                break;
            case 3:
                table.setOutage((step & 0x10) != 0);
                break;
            default:
                entry.callStore(now);
                entry.handle(claim_tick{}, now, std::uint64_t{977} * static_cast<std::uint64_t>(step));
                break;
            }
        }
        table.setOutage(false);
        table.loseAnswers(0);
        for (int round = 0; round < 400; ++round) {
            now += duration(5'000);
            for (claim_actor &entry : entries) {
                entry.handle(claim_tick{}, now, 0);
                entry.callStore(now);
            }
        }
        std::map<std::string, int> winners;
        for (const std::pair<const std::pair<int, request_number>, std::string> &claimed : keys) {
            claim_actor &entry = entries[claimed.first.first];
            RC_ASSERT(entry.ends.contains(claimed.first.second));
            winners[claimed.second] += entry.ends[claimed.first.second].result == "won" ? 1 : 0;
        }
        for (const std::pair<const std::string, int> &won : winners) {
            RC_ASSERT(won.second <= 1);
        }
    });
    CHECK(propertyHolds);
}

TEST_CASE("a claim whose request was not run can be replaced")
{
    // Guards against two runs when two entries replace the claim of the same request that was not run.
    rc::check([] {
        memory_table table;
        failure reason;
        RC_ASSERT(table.commit({"first", {}, {{"k", claimValue("e", "9/9")}}, {}}, reason) == commit_outcome::Committed);
        const std::uint64_t version = table.read("k", reason)->version;
        std::vector<claim_actor> entries{{1, table}, {2, table}};
        for (std::size_t i = 0; i < entries.size(); ++i) {
            claim replacement = claimOf(1, "k", i + 1, timestamp(100'000'000));
            replacement.replacedVersion = version;
            entries[i].handle(claim_requested{replacement}, timestamp(1));
        }
        for (std::int64_t now = 1'000'000; now < 60'000'000; now += 1'000'000) {
            table.loseAnswers(*rc::gen::inRange(0, 2));
            claim_actor &next = entries[*rc::gen::inRange(0, 2)];
            if (!next.callStore(timestamp(now))) {
                next.handle(claim_tick{}, timestamp(now));
            }
        }
        table.loseAnswers(0);
        for (claim_actor &entry : entries) {
            entry.handle(claim_tick{}, timestamp(80'000'000));
            while (entry.callStore(timestamp(80'000'000))) {
            }
        }
        const int won = (entries[0].ends[1].result == "won" ? 1 : 0) + (entries[1].ends[1].result == "won" ? 1 : 0);
        RC_ASSERT(won == 1);
    });
}
