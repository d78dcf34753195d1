#include "node/table_feed.h"

#include "base/clock.h"
#include "base/log.h"

#include <algorithm>
#include <atomic>
#include <limits>
#include <map>
#include <mutex>

namespace daisypass {
namespace {

constexpr std::chrono::milliseconds readTimeout{1'500};
// Exponential backoff after failed calls, so that a store that is down or over its rate limit gets few calls.
constexpr std::chrono::milliseconds minRetryDelay{60};
constexpr std::chrono::milliseconds maxRetryDelay{500};

} // namespace

struct table_feed::state : std::enable_shared_from_this<table_feed::state>
{
    state(store_client &storeClient, run_after_function runAfterFunction)
        : store(storeClient)
        , runAfter(std::move(runAfterFunction))
    {
    }

    store_client &store;
    run_after_function runAfter;
    std::string table;
    std::vector<std::string> parts;
    std::chrono::milliseconds pollWait{};
    table_feed_handlers handlers;

    std::mutex lock;
    std::atomic<bool> stopped{false};
    std::chrono::milliseconds retryDelay = minRetryDelay;
    std::int64_t version = 0;
    std::set<row_key> knownKeys;
    // State of the snapshot in progress.
    std::size_t partIndex = 0;
    row_range pageRange;
    std::int64_t snapshotVersion = 0;
    std::set<row_key> snapshotKeys;
    // When the snapshot's first page was asked for.
    std::int64_t snapshotSentAt = 0;
    bool confirmsSoonAfterFaults = false;
    bool lastPollFaulty = false;

    void beginSnapshot()
    {
        partIndex = 0;
        pageRange = {table, parts[partIndex], "", ""};
        snapshotVersion = std::numeric_limits<std::int64_t>::max();
        snapshotKeys.clear();
        readPage();
    }

    void readPage()
    {
        const bool isFirstPage = partIndex == 0 && pageRange.from.empty();
        if (isFirstPage) {
            snapshotSentAt = steadyMillis();
        }
        store.get(pageRange, readTimeout, [self = shared_from_this()](const rows_result &result) {
            const std::lock_guard<std::mutex> guard(self->lock);
            self->onPage(result);
        });
    }

    void onPage(const rows_result &result)
    {
        if (stopped) {
            return;
        }
        handlers.storeReached(result.status == store_status::Ok);
        if (result.status != store_status::Ok) {
            retry(&state::readPage);
            return;
        }
        retryDelay = minRetryDelay;
        // The feed starts at the lowest version of all pages, so it may repeat changes that a page already contains. Applying a row twice
        // has no effect.
        snapshotVersion = std::min(snapshotVersion, result.version);
        for (const store_row &row : result.rows) {
            snapshotKeys.insert(row.key);
            knownKeys.insert(row.key);
            handlers.rowChanged(row);
        }
        handlers.batchApplied();
        if (std::optional<row_range> next = nextPage(pageRange, result)) {
            pageRange = std::move(*next);
            readPage();
            return;
        }
        if (++partIndex < parts.size()) {
            pageRange = {table, parts[partIndex], "", ""};
            readPage();
            return;
        }
        finishSnapshot();
    }

    void finishSnapshot()
    {
        for (const row_key &key : knownKeys) {
            if (!snapshotKeys.contains(key)) {
                store_row deletedRow;
                deletedRow.key = key;
                deletedRow.version = snapshotVersion;
                deletedRow.deleted = true;
                handlers.rowChanged(deletedRow);
            }
        }
        knownKeys = snapshotKeys;
        snapshotKeys.clear();
        version = snapshotVersion;
        logEvent("table_read", {{"table", table}, {"rows", knownKeys.size()}, {"version", version}});
        handlers.snapshotComplete();
        confirmCurrent(snapshotSentAt);
        poll();
    }

    // The time is that of the call and not of the answer, which may have been under way for long.
    void confirmCurrent(std::int64_t sentAt)
    {
        if (handlers.currentAsOf) {
            handlers.currentAsOf(sentAt);
        }
    }

    void poll()
    {
        const bool returnsAtOnce = confirmsSoonAfterFaults && lastPollFaulty;
        const std::chrono::milliseconds wait = returnsAtOnce ? std::chrono::milliseconds(0) : pollWait;
        // As long as for other polls in all.
        const std::chrono::milliseconds answerTime = store_client::defaultAnswerTime + pollWait - wait;
        store.feed(
            table,
            version,
            wait,
            [self = shared_from_this(), sentAt = steadyMillis()](const rows_result &result) {
                const std::lock_guard<std::mutex> guard(self->lock);
                self->lastPollFaulty = self->isFaulty(result, sentAt);
                self->onFeed(result, sentAt);
            },
            answerTime);
    }

    // Late answers come from a slow store, or are read late because the machine was suspended.
    bool isFaulty(const rows_result &result, std::int64_t sentAt) const
    {
        return result.status != store_status::Ok || steadyMillis() - sentAt > (pollWait + store_client::defaultAnswerTime).count();
    }

    void onFeed(const rows_result &result, std::int64_t sentAt)
    {
        if (stopped) {
            return;
        }
        handlers.storeReached(result.status == store_status::Ok || result.status == store_status::HistoryGone);
        if (result.status == store_status::HistoryGone) {
            logEvent("feed_history_gone", {{"table", table}, {"after_version", version}});
            beginSnapshot();
            return;
        }
        if (result.status != store_status::Ok) {
            retry(&state::poll);
            return;
        }
        retryDelay = minRetryDelay;
        for (const store_row &row : result.rows) {
            if (row.deleted) {
                knownKeys.erase(row.key);
            } else {
                knownKeys.insert(row.key);
            }
            handlers.rowChanged(row);
        }
        version = std::max(version, result.version);
        if (handlers.caughtUp && !result.atLimit && result.storeMs != 0) {
            handlers.caughtUp(result.storeMs);
        }
        if (!result.rows.empty()) {
            handlers.batchApplied();
        }
        if (!result.atLimit) {
            confirmCurrent(sentAt);
        }
        poll();
    }

    void retry(void (state::*step)())
    {
        runAfter(retryDelay, [self = shared_from_this(), step] {
            const std::lock_guard<std::mutex> guard(self->lock);
            if (!self->stopped) {
                (self.get()->*step)();
            }
        });
        retryDelay = std::min(retryDelay * 2, maxRetryDelay);
    }
};

table_feed::table_feed(store_client &store,
                       run_after_function runAfter,
                       std::string table,
                       std::vector<std::string> parts,
                       std::chrono::milliseconds pollWait,
                       table_feed_handlers handlers)
    : m_state(std::make_shared<state>(store, std::move(runAfter)))
{
    m_state->table = std::move(table);
    m_state->parts = std::move(parts);
    m_state->pollWait = pollWait;
    m_state->handlers = std::move(handlers);
}

table_feed::~table_feed()
{
    stop();
}

void table_feed::setHandlers(table_feed_handlers handlers)
{
    m_state->handlers = std::move(handlers);
}

void table_feed::confirmSoonAfterFaults()
{
    m_state->confirmsSoonAfterFaults = true;
}

// The state isn't locked here: its first other user is the answer to the call that is sent last. Callers may hold a lock that the handlers take.
void table_feed::start()
{
    m_state->beginSnapshot();
}

void table_feed::startAfter(std::int64_t version)
{
    m_state->version = version;
    m_state->poll();
}

void table_feed::stop()
{
    m_state->stopped = true;
}

} // namespace daisypass
