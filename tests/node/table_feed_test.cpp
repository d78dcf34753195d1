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
