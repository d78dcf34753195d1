#include "base/clock.h"
#include "node/table_feed.h"
#include "store_fixture.h"

#include <doctest/doctest.h>

#include <asio/steady_timer.hpp>

#include <condition_variable>
#include <mutex>

using namespace daisypass;

namespace {

/** Follows the table of jobs and records, for each time that the feed has caught up, how many rows it had passed on by then. */
class followed_table : public store_fixture
{
public:
    followed_table()
    {
        table_feed_handlers handlers;
        handlers.rowChanged = [this](const store_row &) {
            const std::lock_guard<std::mutex> guard(m_lock);
            ++m_rows;
        };
        handlers.snapshotComplete = [] {
        };
        handlers.batchApplied = [] {
        };
        handlers.storeReached = [](bool) {
        };
        handlers.caughtUp = [this](std::int64_t) {
            const std::lock_guard<std::mutex> guard(m_lock);
            m_rowsWhenCaughtUp.push_back(m_rows);
            m_changed.notify_all();
        };
        m_feed = std::make_unique<table_feed>(
            store(),
            [](std::chrono::milliseconds, const std::function<void()> &) {
            },
            "jobs",
            std::vector<std::string>{""},
            std::chrono::milliseconds(50),
            handlers);
        m_feed->start();
    }

    ~followed_table()
    {
        m_feed->stop();
        // A handler may still run. The client calls one after the other, so it has returned when a later call is answered.
        value({"jobs", "", "none"});
    }

    void add(int rows)
    {
        for (int first = 0; first < rows; first += rowsPerTransaction) {
            row_transaction transaction;
            for (int i = first; i < std::min(rows, first + rowsPerTransaction); ++i) {
                transaction.puts.push_back({{"jobs", "", "job-" + std::to_string(m_added++)}, "row"});
            }
            REQUIRE(transact(transaction) == store_status::Ok);
        }
    }

    /** Waits until the feed has caught up after that many rows; false if it doesn't. */
    bool catchesUpAfter(int rows)
    {
        std::unique_lock<std::mutex> guard(m_lock);
        return m_changed.wait_for(guard, timeout, [&] {
            return !m_rowsWhenCaughtUp.empty() && m_rowsWhenCaughtUp.back() == rows;
        });
    }

private:
    static constexpr int rowsPerTransaction = 90;

    std::mutex m_lock;
    std::condition_variable m_changed;
    int m_rows = 0;
    int m_added = 0;
    std::vector<int> m_rowsWhenCaughtUp;
    std::unique_ptr<table_feed> m_feed;
};

} // namespace

TEST_CASE("a feed says when it has passed on all changes")
{
    followed_table table;
    REQUIRE(table.catchesUpAfter(0));
    table.add(3);
    CHECK(table.catchesUpAfter(3));
    table.add(400);
    CHECK(table.catchesUpAfter(403));
}

namespace {

/** Follows a table of a store with a fault, and records for each confirmation how old it was. */
class confirmed_table : public store_fixture
{
public:
    explicit confirmed_table(bool confirmSoon)
    {
        table_feed_handlers handlers;
        handlers.rowChanged = [](const store_row &) {
        };
        handlers.snapshotComplete = [] {
        };
        handlers.batchApplied = [] {
        };
        handlers.storeReached = [](bool) {
        };
        handlers.currentAsOf = [this](std::int64_t steadyMs) {
            const std::lock_guard<std::mutex> guard(m_lock);
            m_ages.push_back(steadyMillis() - steadyMs);
            m_changed.notify_all();
        };
        m_feed = std::make_unique<table_feed>(store(), runAfter(), "op", std::vector<std::string>{""}, pollWait, handlers);
        if (confirmSoon) {
            m_feed->confirmSoonAfterFaults();
        }
    }

    ~confirmed_table()
    {
        m_feed->stop();
        setFault({});
        // A handler may still run; see followed_table.
        value({"op", "", "none"});
    }

    void start()
    {
        m_feed->start();
    }

    /** The ages of the first confirmations; fewer if the others don't come. */
    std::vector<std::int64_t> ages(std::size_t count)
    {
        std::unique_lock<std::mutex> guard(m_lock);
        m_changed.wait_for(guard, timeout, [&] {
            return m_ages.size() >= count;
        });
        return m_ages;
    }

    static constexpr std::chrono::milliseconds pollWait{300};

private:
    std::mutex m_lock;
    std::condition_variable m_changed;
    std::vector<std::int64_t> m_ages;
    std::unique_ptr<table_feed> m_feed;
};

} // namespace

// Guards against knowledge of revoked keys that is taken for newer than the call which it came with.
TEST_CASE("a feed confirms the table as of the time at which it asked, however late the answer comes")
{
    constexpr std::chrono::milliseconds delay{400};
    confirmed_table table(false);
    table.setFault({store_fault_kind::Slow, 1.0, delay});
    table.start();
    const std::vector<std::int64_t> ages = table.ages(3);
    REQUIRE(ages.size() >= 3);
    // The snapshot, and then polls that the store holds for the wait.
    CHECK(ages[0] >= delay.count());
    CHECK(ages[1] >= (delay + confirmed_table::pollWait).count());
    CHECK(ages[2] >= (delay + confirmed_table::pollWait).count());
}

// Guards against a node that refuses all keyed calls because its polls are given up while the store is slow.
TEST_CASE("a feed that confirms soon after faults does so while the store is too slow for a long poll")
{
    constexpr std::chrono::milliseconds delay{750};
    confirmed_table table(true);
    table.start();
    REQUIRE(table.ages(1).size() >= 1);
    table.setFault({store_fault_kind::Slow, 1.0, delay});
    const std::size_t before = table.ages(1).size();
    const std::vector<std::int64_t> ages = table.ages(before + 2);
    REQUIRE(ages.size() >= before + 2);
    CHECK(ages.back() >= delay.count());
    CHECK(ages.back() < (store_client::defaultAnswerTime + confirmed_table::pollWait).count());
}
