// Tests of the HTTP client and server over loopback.

#include "http/connection_account.h"
#include "http/http_client.h"
#include "http/http_server.h"

#include <asio.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

using namespace daisypass;

namespace {

std::string urlOf(std::uint16_t port, std::string_view path)
{
    return "http://127.0.0.1:" + std::to_string(port) + std::string(path);
}

// A port on which connection attempts hang because the accept queue of length one is full.
class full_backlog_port
{
public:
    full_backlog_port()
        : m_acceptor(m_context)
    {
        const asio::ip::tcp::endpoint address(asio::ip::address_v4::loopback(), 0);
        m_acceptor.open(address.protocol());
        m_acceptor.bind(address);
        m_acceptor.listen(0);
        for (int i = 0; i < connections; ++i) {
            m_connecting.emplace_back(m_context).open(address.protocol());
            m_connecting.back().native_non_blocking(true);
            // Called directly because asio's connect would wait for the result.
            const asio::ip::tcp::endpoint full = m_acceptor.local_endpoint();
            // Its result isn't used: it reports that the connection is being made, or why it isn't.
            static_cast<void>(::connect(m_connecting.back().native_handle(), full.data(), static_cast<socklen_t>(full.size())));
        }
    }

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

private:
    static constexpr int connections = 4;

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<asio::ip::tcp::socket> m_connecting;
};

// A server that responds to the first request of a connection and closes the connection when the second arrives.
class closing_server
{
public:
    closing_server()
        : m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0})
        , m_thread([this] {
            run();
        })
    {
    }

    ~closing_server()
    {
        asio::ip::tcp::socket wake(m_context);
        asio::error_code ignored;
        m_stopping = true;
        wake.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

    int requests() const
    {
        return m_requests;
    }

private:
    void run()
    {
        while (true) {
            asio::ip::tcp::socket connection = m_acceptor.accept();
            if (m_stopping) {
                return;
            }
            asio::error_code error;
            std::string input;
            asio::read_until(connection, asio::dynamic_buffer(input), "\r\n\r\n", error);
            if (error) {
                continue;
            }
            ++m_requests;
            asio::write(connection, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")), error);
            input.clear();
            asio::read_until(connection, asio::dynamic_buffer(input), "\r\n\r\n", error);
            if (!error) {
                ++m_requests;
            }
        }
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_requests{0};
    std::thread m_thread;
};

// A server whose connections are charged to an account, on a context with one thread.
class charged_server
{
public:
    explicit charged_server(account_limits limits)
        : m_account(std::make_shared<connection_account>(limits))
    {
        chargeConnections(m_context, m_account);
        m_server = std::make_unique<http_server>(
            http_server_options{.listen = {"127.0.0.1", 0}},
            [this](const http_request &, const http_responder &respond) {
                ++m_handled;
                respond(http_response{});
            },
            m_context);
        failure reason;
        REQUIRE(m_server->start(reason));
        m_thread = std::thread([this] {
            m_context.run();
        });
    }

    ~charged_server()
    {
        m_context.stop();
        m_thread.join();
        m_server->stop();
    }

    std::uint16_t port() const
    {
        return m_server->port();
    }

    int handled() const
    {
        return m_handled;
    }

    http_result post(std::size_t bodyBytes) const
    {
        http_client client({});
        http_call call;
        call.method = "POST";
        call.url = urlOf(port(), "/");
        call.body = std::string(bodyBytes, 'x');
        return client.fetch(call);
    }

private:
    asio::io_context m_context;
    std::shared_ptr<connection_account> m_account;
    std::unique_ptr<http_server> m_server;
    std::thread m_thread;
    std::atomic<int> m_handled{0};
};

// Sends the bytes on a new connection and returns what arrives until the server closes it.
std::string exchange(std::uint16_t port, const std::string &bytes)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::address_v4::loopback(), port});
    asio::write(socket, asio::buffer(bytes));
    std::string answer;
    asio::error_code ended;
    asio::read(socket, asio::dynamic_buffer(answer), ended);
    return answer;
}

} // namespace

TEST_CASE("an HTTP server with a connection account refuses what doesn't fit, and doesn't run it")
{
    constexpr std::size_t kilobyte = 1'024;
    constexpr std::size_t longBody = 40'000;
    constexpr std::size_t shortBody = 100;

    // Guards against half-read bodies that are kept however large they are together.
    SUBCASE("a request that alone takes more than one may, while it arrives")
    {
        const charged_server server({.bytes = 1'024 * kilobyte, .requestBytes = 100 * kilobyte});
        // Just above the charge, so that the server has read all when it refuses and the answer isn't lost by a reset.
        constexpr std::size_t sentBytes = 39'000;
        const std::string head = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 80000\r\n\r\n";
        const std::string answer = exchange(server.port(), head + std::string(sentBytes - head.size(), 'x'));
        CHECK(answer.starts_with("HTTP/1.1 413 "));
        CHECK(server.handled() == 0);
        CHECK(server.post(shortBody).response.status == 200);
    }
    // Guards against complete requests whose copies take more memory than there is.
    SUBCASE("a complete request whose handling doesn't fit, with a time to retry")
    {
        const charged_server server({.bytes = 200 * kilobyte, .requestBytes = 150 * kilobyte});
        const http_result refused = server.post(longBody);
        CHECK(refused.response.status == 503);
        CHECK(findHeader(refused.response.headers, "Retry-After") == "1");
        CHECK(server.handled() == 0);
        CHECK(server.post(shortBody).response.status == 200);
    }
    // Guards against connections without requests that keep others out.
    SUBCASE("a connection that waits is closed for a new one")
    {
        const charged_server server({.bytes = 1'024 * kilobyte, .connections = 2, .requestBytes = 512 * kilobyte});
        asio::io_context context;
        std::vector<asio::ip::tcp::socket> idle;
        for (int i = 0; i < 4; ++i) {
            idle.emplace_back(context).connect({asio::ip::address_v4::loopback(), server.port()});
        }
        CHECK(server.post(shortBody).response.status == 200);
        char byte = 0;
        asio::error_code ended;
        idle.front().read_some(asio::buffer(&byte, 1), ended);
        CHECK(ended);
    }
}

TEST_CASE("the HTTP client reports how far a request got")
{
    http_client client({});

    SUBCASE("a complete response arrives with its headers and body")
    {
        http_server server({.listen = {"127.0.0.1", 0}}, [](http_request request, http_responder respond) {
            respond({201, {{"X-Path", request.path}, {"X-Value", std::string(findHeader(request.query, "a b"))}}, request.method + request.body});
        });
        failure reason;
        REQUIRE(server.start(reason));
        http_call call;
        call.method = "POST";
        call.url = urlOf(server.port(), "/x?a%20b=c%2Fd");
        call.body = "body";
        const http_result result = client.fetch(call);
        CHECK(result.state == send_state::Answered);
        CHECK(result.response.status == 201);
        CHECK(result.response.body == "POSTbody");
        CHECK(findHeader(result.response.headers, "x-path") == "/x");
        CHECK(findHeader(result.response.headers, "x-value") == "c/d");
    }

    SUBCASE("nothing is sent when the port is closed")
    {
        http_call call;
        call.url = urlOf(1, "/");
        const http_result result = client.fetch(call);
        CHECK(result.state == send_state::NotSent);
        CHECK(result.reason.code == failure_code::ConnectFailed);
    }

    // Guards against libcurl's transparent resend, which would run a request twice.
    SUBCASE("a request on a reused connection that closes early is not sent again")
    {
        closing_server server;
        http_client reusing({});
        http_call call;
        call.method = "POST";
        call.url = urlOf(server.port(), "/run");
        CHECK(reusing.fetch(call).state == send_state::Answered);
        const http_result second = reusing.fetch(call);
        CHECK(second.state == send_state::Sent);
        CHECK(server.requests() == 2);
    }

    // Guards against a truncated response that is accepted as a complete one.
    SUBCASE("a truncated response and a connection closed before the response end with state Sent")
    {
        http_server server({.listen = {"127.0.0.1", 0}}, [](http_request request, http_responder respond) {
            respond({200, {}, "body", request.path == "/truncated" ? answer_delivery::Truncated : answer_delivery::Closed});
        });
        failure reason;
        REQUIRE(server.start(reason));
        for (const char *path : {"/truncated", "/closed"}) {
            http_call call;
            call.url = urlOf(server.port(), path);
            const http_result result = client.fetch(call);
            CHECK(result.state == send_state::Sent);
            CHECK(result.reason.code == failure_code::BadAnswer);
        }
    }
}

TEST_CASE("a connection attempt that failed does not slow down the connections after it")
{
    // Guards against missed socket events: the next connection gets the failed socket's descriptor number. When its events were missed,
    // each call on that connection took until a libcurl timer expired, 200 to 700 ms.
    http_server server({.listen = {"127.0.0.1", 0}}, [](const http_request &, const http_responder &respond) {
        respond(http_response{});
    });
    failure reason;
    REQUIRE(server.start(reason));
    const full_backlog_port full;
    http_client client({});
    http_call hanging;
    hanging.url = urlOf(full.port(), "/");
    hanging.connectTimeout = std::chrono::milliseconds(100);
    REQUIRE(client.fetch(hanging).state == send_state::NotSent);

    http_call call;
    call.url = urlOf(server.port(), "/");
    constexpr std::chrono::milliseconds shortestTimer{200};
    const std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
    REQUIRE(client.fetch(call).state == send_state::Answered);
    CHECK(std::chrono::steady_clock::now() - began < shortestTimer);
}

TEST_CASE("the HTTP server can stop with connections and unanswered requests")
{
    // Guards against a use after free: connections and late responders outlived the server that they refer to.
    std::vector<http_responder> kept;
    std::mutex lock;
    http_client client({});
    std::atomic<int> ended{0};
    constexpr int callCount = 4;
    {
        http_server server({.listen = {"127.0.0.1", 0}}, [&](const http_request &, http_responder respond) {
            const std::lock_guard<std::mutex> guard(lock);
            kept.push_back(std::move(respond));
        });
        failure reason;
        REQUIRE(server.start(reason));
        for (int i = 0; i < callCount; ++i) {
            http_call call;
            call.url = urlOf(server.port(), "/");
            client.send(std::move(call), [&](const http_result &) {
                ++ended;
            });
        }
        const std::chrono::steady_clock::time_point limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        std::size_t held = 0;
        while (held < callCount && std::chrono::steady_clock::now() < limit) {
            std::this_thread::yield();
            const std::lock_guard<std::mutex> guard(lock);
            held = kept.size();
        }
        REQUIRE(held == callCount);
    }
    for (const http_responder &late : kept) {
        late({200, {}, "late"});
    }
    while (ended < callCount) {
        std::this_thread::yield();
    }
}
