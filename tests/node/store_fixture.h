#pragma once

// Runs a stand-in of the store on the loopback interface, with a client and blocking calls to it.

#include "http/http_client.h"
#include "node/table_feed.h"
#include "standins/standin_server.h"
#include "standins/store_standin.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <doctest/doctest.h>

#include <future>
#include <memory>
#include <thread>

namespace daisypass {

class store_fixture
{
public:
    /** `rows` are in the store from the start. */
    explicit store_fixture(const std::vector<row_update> &rows = {})
    {
        for (const row_update &row : rows) {
            m_rows.put(row.key, row.value);
        }
        failure reason;
        m_server = startServer({"127.0.0.1", 0}, m_context, reason, [this](const http_request &request, const http_responder &respond) {
            m_rows.handle(request, respond);
        });
        REQUIRE(m_server);
        m_store = std::make_unique<store_client>(m_client, endpoint{"127.0.0.1", m_server->port()});
        m_thread = std::thread([this] {
            m_context.run();
        });
    }

    ~store_fixture()
    {
        m_context.stop();
        m_thread.join();
    }

    store_client &store()
    {
        return *m_store;
    }

    /** Runs functions after their delay on the stand-in's thread, until the fixture ends. */
    run_after_function runAfter()
    {
        return [this](std::chrono::milliseconds delay, std::function<void()> call) {
            const std::shared_ptr<asio::steady_timer> timer = std::make_shared<asio::steady_timer>(m_context, delay);
            timer->async_wait([timer, call = std::move(call)](const asio::error_code &error) {
                if (!error) {
                    call();
                }
            });
        };
    }

    void setFault(store_fault fault)
    {
        std::promise<void> done;
        asio::post(m_context, [this, fault, &done] {
            m_rows.setFault(fault);
            done.set_value();
        });
        done.get_future().get();
    }

    store_status transact(const row_transaction &transaction)
    {
        std::promise<store_status> answered;
        m_store->transact(transaction, timeout, [&answered](const transact_result &result) {
            answered.set_value(result.status);
        });
        return answered.get_future().get();
    }

    /** Returns the row's value; empty if the row doesn't exist. */
    std::string value(const row_key &key)
    {
        std::promise<rows_result> answered;
        m_store->get({key.table, key.part, key.key, ""}, timeout, [&answered](const rows_result &result) {
            answered.set_value(result);
        });
        const rows_result read = answered.get_future().get();
        return read.rows.empty() || !(read.rows[0].key == key) ? std::string() : read.rows[0].value;
    }

    static constexpr std::chrono::milliseconds timeout{5'000};

private:
    asio::io_context m_context;
    store_standin m_rows{m_context};
    std::unique_ptr<http_server> m_server;
    std::thread m_thread;
    http_client m_client{http_client_options{}};
    std::unique_ptr<store_client> m_store;
};

} // namespace daisypass
