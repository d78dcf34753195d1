#include "http/http_answers.h"
#include "node/relay_pool.h"
#include "node/relay_server.h"
#include "standins/standin_server.h"

#include <doctest/doctest.h>

#include <asio/steady_timer.hpp>

#include <condition_variable>
#include <mutex>
#include <thread>

using namespace daisypass;

namespace {

constexpr std::chrono::seconds waitLimit{5};
// More executors than the holder serves directly, and few enough for one relay.
constexpr std::size_t executorsForOneRelay = 105;

/** A holder's relay pool, one node that may be used as a relay, and an executor that accepts every order. */
class relay_fixture
{
public:
    explicit relay_fixture(http_handler relayHandler)
    {
        failure reason;
        m_executor = startServer({"127.0.0.1", 0}, m_context, reason, [this](const http_request &, const http_responder &respond) {
            {
                const std::lock_guard<std::mutex> guard(m_lock);
                ++m_ordersCarriedOut;
            }
            respond(jsonTextResponse(statusOk, R"({"ClockMs":5})"));
        });
        m_relay = startServer({"127.0.0.1", 0}, m_context, reason, std::move(relayHandler));
        REQUIRE(m_executor);
        REQUIRE(m_relay);
        m_pool = std::make_shared<relay_pool>(m_client, runAfter(), "holder.1", "holder");
        m_pool->setExecutors(executorsForOneRelay);
        m_pool->setNodes({{"relay", "zone", {"127.0.0.1", m_relay->port()}, 0.5}});
        m_thread = std::thread([this] {
            m_context.run();
        });
    }

    ~relay_fixture()
    {
        m_pool->stop();
        m_context.stop();
        m_thread.join();
    }

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

    void sendStop()
    {
        m_pool->send({{"i-1", "127.0.0.1:" + std::to_string(m_executor->port())}, stop_order{{"j1", 0, 0, 0}, 1, 1}}, [this](const executor_answer &answer) {
            const std::lock_guard<std::mutex> guard(m_lock);
            m_statuses.push_back(std::get<order_result>(answer).status);
            m_answered.notify_all();
        });
    }

    /** Waits for the answers to this many orders and returns them; fewer after the time limit. */
    std::vector<order_status> statuses(std::size_t count)
    {
        std::unique_lock<std::mutex> guard(m_lock);
        m_answered.wait_for(guard, waitLimit, [&] {
            return m_statuses.size() >= count;
        });
        return m_statuses;
    }

    int ordersCarriedOut()
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        return m_ordersCarriedOut;
    }

private:
    std::mutex m_lock;
    std::condition_variable m_answered;
    int m_ordersCarriedOut = 0;
    std::vector<order_status> m_statuses;
    asio::io_context m_context;
    std::unique_ptr<http_server> m_executor;
    std::unique_ptr<http_server> m_relay;
    http_client m_client{http_client_options{}};
    std::shared_ptr<relay_pool> m_pool;
    std::thread m_thread;
};

} // namespace

TEST_CASE("orders reach executors through a relay")
{
    http_client relayClient{http_client_options{}};
    std::shared_ptr<relay_server> relay;
    int exchanges = 0;
    relay_fixture world([&](const http_request &request, const http_responder &respond) {
        ++exchanges;
        relay->handle(request, respond);
    });
    relay = std::make_shared<relay_server>(executor_client(directSender(relayClient)), world.runAfter());
    for (int i = 0; i < 20; ++i) {
        world.sendStop();
    }
    CHECK(world.statuses(20) == std::vector<order_status>(20, order_status::Ok));
    CHECK(world.ordersCarriedOut() == 20);
    // Twenty orders given at once share an exchange, and the answers come with a few more.
    CHECK(exchanges < 20);
}

// Guards against orders of which the holder believes that they may be carried out although no relay has taken them: a node of another
// version doesn't know the exchange, and each of its refusals cost the runs in question a stop and a further start.
TEST_CASE("orders that a relay refuses are sent directly")
{
    relay_fixture world([](const http_request &, const http_responder &respond) {
        respond(emptyResponse(statusNotFound));
    });
    for (int i = 0; i < 3; ++i) {
        world.sendStop();
    }
    CHECK(world.statuses(3) == std::vector<order_status>(3, order_status::Ok));
}

TEST_CASE("orders are unanswered if their relay fails after it may have received them")
{
    relay_fixture world([](const http_request &, const http_responder &respond) {
        http_response response;
        response.delivery = answer_delivery::Closed;
        respond(std::move(response));
    });
    world.sendStop();
    CHECK(world.statuses(1) == std::vector<order_status>{order_status::Unknown});

    SUBCASE("and later ones are sent directly")
    {
        world.sendStop();
        CHECK(world.statuses(2) == std::vector<order_status>{order_status::Unknown, order_status::Ok});
    }
}

TEST_CASE("the time for which orders are collected grows with the number of relays")
{
    CHECK(relay_pool::batchDelay(0) == std::chrono::milliseconds(4));
    CHECK(relay_pool::batchDelay(4) == std::chrono::milliseconds(4));
    CHECK(relay_pool::batchDelay(10) == std::chrono::milliseconds(10));
    CHECK(relay_pool::batchDelay(200) == std::chrono::milliseconds(16));
}

// Guards against a former holder's poll that never gets a response because new sessions displaced its session.
TEST_CASE("a relay responds to the waiting polls of sessions that it drops")
{
    http_client relayClient{http_client_options{}};
    const std::shared_ptr<relay_server> relay
        = std::make_shared<relay_server>(executor_client(directSender(relayClient)), [](std::chrono::milliseconds, const std::function<void()> &) {
          });
    int responses = 0;
    for (int term = 0; term < 5; ++term) {
        http_request request;
        request.body = encode(relay_exchange{"holder." + std::to_string(term), 1'000, {}});
        relay->handle(request, [&responses](const http_response &response) {
            CHECK(response.status == statusOk);
            ++responses;
        });
    }
    CHECK(responses == 4);
}
