#include "node/table_feed.h"

#include "base/log.h"

#include <algorithm>
#include <atomic>
#include <limits>
#include <map>
#include <mutex>

namespace daisypass {
namespace {

constexpr std::chrono::milliseconds readTimeout{1'500};
// Pause after a call that failed, doubled up to the longest: a store that is down or over its rate gets few calls.
constexpr std::chrono::milliseconds firstPause{60};
constexpr std::chrono::milliseconds longestPause{500};

} // namespace

struct table_feed::state : std::enable_shared_from_this<table_feed::state>
{
    state(store_client &storeClient, delayed_call laterCall)
        : store(storeClient)
        , later(std::move(laterCall))
    {
    }

    store_client &store;
    delayed_call later;
    std::string table;
    std::vector<std::string> parts;
    std::chrono::milliseconds wait{};
    table_feed_handlers handlers;

    std::mutex lock;
    std::atomic<bool> stopped{false};
    std::chrono::milliseconds pause = firstPause;
    std::int64_t version = 0;
    std::set<row_key> known;
    // While reading the table whole.
    std::size_t part = 0;
    row_range page;
    std::int64_t readVersion = 0;
    std::set<row_key> readKeys;

    void beginRead()
    {
        part = 0;
        page = {table, parts[part], "", ""};
        readVersion = std::numeric_limits<std::int64_t>::max();
        readKeys.clear();
        readPage();
    }

    void readPage()
    {
        store.get(page, readTimeout, [self = shared_from_this()](const rows_result &result) {
            const std::lock_guard<std::mutex> guard(self->lock);
            self->onPage(result);
        });
    }

    void onPage(const rows_result &result)
    {
        if (stopped) {
            return;
        }
        handlers.reached(result.status == store_status::Ok);
        if (result.status != store_status::Ok) {
            retry(&state::readPage);
            return;
        }
        pause = firstPause;
        // Changes after the earliest page's version are read again from the feed; rows are applied twice without harm.
        readVersion = std::min(readVersion, result.version);
        for (const store_row &row : result.rows) {
            readKeys.insert(row.key);
            known.insert(row.key);
            handlers.changed(row);
        }
        handlers.applied();
        if (std::optional<row_range> next = nextPage(page, result)) {
            page = std::move(*next);
            readPage();
            return;
        }
        if (++part < parts.size()) {
            page = {table, parts[part], "", ""};
            readPage();
            return;
        }
        finishRead();
    }

    void finishRead()
    {
        for (const row_key &key : known) {
            if (!readKeys.contains(key)) {
                store_row gone;
                gone.key = key;
                gone.version = readVersion;
                gone.deleted = true;
                handlers.changed(gone);
            }
        }
        known = readKeys;
        readKeys.clear();
        version = readVersion;
        logEvent("table_read", {{"table", table}, {"rows", known.size()}, {"version", version}});
        handlers.complete();
        poll();
    }

    void poll()
    {
        store.feed(table, version, wait, [self = shared_from_this()](const rows_result &result) {
            const std::lock_guard<std::mutex> guard(self->lock);
            self->onFeed(result);
        });
    }

    void onFeed(const rows_result &result)
    {
        if (stopped) {
            return;
        }
        handlers.reached(result.status == store_status::Ok || result.status == store_status::HistoryGone);
        if (result.status == store_status::HistoryGone) {
            logEvent("feed_history_gone", {{"table", table}, {"after_version", version}});
            beginRead();
            return;
        }
        if (result.status != store_status::Ok) {
            retry(&state::poll);
            return;
        }
        pause = firstPause;
        for (const store_row &row : result.rows) {
            if (row.deleted) {
                known.erase(row.key);
            } else {
                known.insert(row.key);
            }
            handlers.changed(row);
        }
        version = std::max(version, result.version);
        if (!result.rows.empty()) {
            handlers.applied();
        }
        poll();
    }

    void retry(void (state::*step)())
    {
        later(pause, [self = shared_from_this(), step] {
            const std::lock_guard<std::mutex> guard(self->lock);
            if (!self->stopped) {
                (self.get()->*step)();
            }
        });
        pause = std::min(pause * 2, longestPause);
    }
};

table_feed::table_feed(
    store_client &store, delayed_call later, std::string table, std::vector<std::string> parts, std::chrono::milliseconds wait, table_feed_handlers handlers)
    : m_state(std::make_shared<state>(store, std::move(later)))
{
    m_state->table = std::move(table);
    m_state->parts = std::move(parts);
    m_state->wait = wait;
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

void table_feed::start()
{
    const std::lock_guard<std::mutex> guard(m_state->lock);
    m_state->beginRead();
}

void table_feed::stop()
{
    m_state->stopped = true;
}

} // namespace daisypass
