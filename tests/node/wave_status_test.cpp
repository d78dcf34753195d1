#include "node/wave_status.h"

#include "http/http_client.h"
#include "platform/records.h"
#include "standins/standin_server.h"
#include "standins/store_standin.h"

#include <doctest/doctest.h>

#include <future>
#include <thread>

using namespace daisypass;

namespace {

constexpr std::int64_t wave = 3;

class status_fixture
{
public:
    status_fixture()
    {
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

    ~status_fixture()
    {
        m_context.stop();
        m_thread.join();
    }

    store_status write(bool completed)
    {
        std::promise<store_status> answered;
        m_store->transact(waveStatusWrite(wave, completed), std::chrono::seconds(5), [&answered](const transact_result &result) {
            answered.set_value(result.status);
        });
        return answered.get_future().get();
    }

    std::string shown()
    {
        std::promise<rows_result> answered;
        m_store->get({statusTable, "", waveStatusKey(wave), ""}, std::chrono::seconds(5), [&answered](const rows_result &result) {
            answered.set_value(result);
        });
        const rows_result read = answered.get_future().get();
        return read.rows.empty() ? std::string() : read.rows[0].value;
    }

private:
    asio::io_context m_context;
    store_standin m_rows{m_context};
    std::unique_ptr<http_server> m_server;
    std::thread m_thread;
    http_client m_client{http_client_options{}};
    std::unique_ptr<store_client> m_store;
};

} // namespace

// A write without an answer may be carried out seconds later, and a holder that has lost the lease may still have one on its way.
TEST_CASE("a late write doesn't show a wave as running that has been shown as completed")
{
    status_fixture status;
    SUBCASE("the wave was shown as running before")
    {
        CHECK(waveStatusIsWritten(status.write(false)));
        CHECK(status.shown() == waveStatusText(wave, false));
    }
    SUBCASE("the late write is the first that says so")
    {
    }
    REQUIRE(waveStatusIsWritten(status.write(true)));
    CHECK(status.shown() == waveStatusText(wave, true));

    CHECK(waveStatusIsWritten(status.write(false)));
    CHECK(status.shown() == waveStatusText(wave, true));
}
