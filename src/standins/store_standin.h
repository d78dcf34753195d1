#pragma once

// Stand-in of the platform's metadata store: rows, conditional transactions and change feeds, in memory, with injected faults. A transaction
// that breaks one of the store's limits is refused with 400.
//
//     store_standin store(context);
//     store.put({"op", "", "config"}, text);
//     http_server server(options, [&](http_request request, http_responder respond) { store.handle(request, respond); }, context);
//     store.setFault({store_fault_kind::Busy});

#include "http/http_server.h"
#include "platform/store_client.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace daisypass {

enum class store_fault_kind {
    None,
    /** Every call is answered with 503. */
    Busy,
    /** No call is answered. */
    Silent,
    /** Every write is applied, but for the given share of them the connection closes without an answer. */
    LostAnswers,
    /** Every call is served after the delay. */
    Slow,
};

struct store_fault
{
    store_fault_kind kind = store_fault_kind::None;
    double share = 1.0;
    std::chrono::milliseconds delay{0};
};

class store_standin
{
public:
    explicit store_standin(asio::io_context &context, std::uint64_t seed = 1);

    void handle(const http_request &request, const http_responder &respond);
    void put(const row_key &key, const std::string &value);
    void remove(const row_key &key);
    /** Returns the value of the row, or an empty text if there is no such row. */
    std::string value(const row_key &key) const;
    std::vector<store_row> rowsOf(const std::string &table) const;
    /** Sets a function that is called with each row that a transaction puts. */
    void watchPuts(std::function<void(const store_row &)> watcher);
    void setFault(store_fault fault);
    /** Sets the largest value of a row that a transaction may put. */
    void limitValues(std::size_t bytes)
    {
        m_maxValueBytes = bytes;
    }
    /** Drops the history: feeds that start from an earlier version are answered with 410. */
    void forgetHistory();
    std::int64_t writes() const
    {
        return m_writes;
    }

private:
    struct waiting_feed
    {
        std::string table;
        std::int64_t after = 0;
        http_responder respond;
        std::shared_ptr<asio::steady_timer> timer;
    };

    /** Whether the store takes the transaction at all. */
    bool isWithinLimits(const nlohmann::json &conditions, const nlohmann::json &puts, const nlohmann::json &deletes) const;
    void transact(const http_request &request, const http_responder &respond);
    void get(const http_request &request, const http_responder &respond);
    void feed(const http_request &request, const http_responder &respond);
    void store(const row_key &key, const std::string &value);
    void erase(const row_key &key);
    void wakeFeeds();
    bool answerFeed(const waiting_feed &feed);
    void serve(const http_request &request, const http_responder &respond);

    asio::io_context &m_context;
    std::mt19937_64 m_random;
    std::map<row_key, store_row> m_rows;
    /** Version of each row's last change, including deleted rows. */
    std::map<row_key, std::int64_t> m_lastChange;
    std::int64_t m_version = 1;
    std::int64_t m_historyFrom = 0;
    std::int64_t m_writes = 0;
    store_fault m_fault;
    std::size_t m_maxValueBytes = 65'536;
    std::vector<std::shared_ptr<waiting_feed>> m_feeds;
    std::function<void(const store_row &)> m_watcher;
};

} // namespace daisypass
