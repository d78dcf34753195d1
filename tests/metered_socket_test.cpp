// Tests of metered_socket as the stream of Asio's and RESTinio's operations.
//
// Such an operation passes its buffers and then itself, as an rvalue, to the stream. The order in which a call's arguments are evaluated is
// unspecified, and differs between compilers and between x86-64 and arm64. So a stream may move nothing out of the operation before it has taken
// the buffers. These tests give the same result in either order.

#include "http/connection_account.h"
#include "http/http_server.h"
#include "http/metered_socket.h"

#include <asio.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace daisypass;

namespace {

// A parameter by value would have to be initialized from this handler, for which it has no constructor.
struct immovable_handler
{
    immovable_handler() = default;
    immovable_handler(const immovable_handler &) = delete;
    immovable_handler &operator=(const immovable_handler &) = delete;
    void operator()(const asio::error_code &, std::size_t)
    {
    }
};

template<typename Stream>
concept takes_write_handler_by_reference = requires(Stream &stream, const asio::const_buffer &buffer)
{
    stream.async_write_some(buffer, std::declval<immovable_handler>());
};

template<typename Stream>
concept takes_read_handler_by_reference = requires(Stream &stream, const asio::mutable_buffer &buffer)
{
    stream.async_read_some(buffer, std::declval<immovable_handler>());
};

// The signatures that must not come back. Shows that the concepts tell them apart.
struct stream_with_handlers_by_value
{
    template<typename Handler>
    void async_read_some(const asio::mutable_buffer &buffer, Handler handler); // NOLINT(readability-identifier-naming)
    template<typename Buffers, typename Handler>
    void async_write_some(const Buffers &buffers, Handler handler); // NOLINT(readability-identifier-naming)
};

static_assert(!takes_write_handler_by_reference<stream_with_handlers_by_value>);
static_assert(!takes_read_handler_by_reference<stream_with_handlers_by_value>);
static_assert(takes_write_handler_by_reference<metered_socket>, "async_write_some() moves out of the operation that holds the buffers");
static_assert(takes_read_handler_by_reference<metered_socket>, "async_read_some() moves out of the operation that holds the buffer");

// A metered socket that is connected over loopback to a plain socket.
class connected_pair
{
public:
    explicit connected_pair(std::shared_ptr<connection_account> account = nullptr)
    {
        chargeConnections(m_context, std::move(account));
        asio::ip::tcp::acceptor acceptor(m_context, {asio::ip::address_v4::loopback(), 0});
        m_client = std::make_unique<asio::ip::tcp::socket>(m_context);
        m_client->connect(acceptor.local_endpoint());
        m_stream = std::make_unique<metered_socket>(m_context);
        acceptor.accept(*m_stream);
    }

    metered_socket &stream()
    {
        return *m_stream;
    }

    // Runs the operations that have been started, and returns what the stream has sent.
    std::string sentBytes()
    {
        m_context.run();
        m_stream->close();
        std::string bytes;
        asio::error_code ended;
        asio::read(*m_client, asio::dynamic_buffer(bytes), ended);
        return bytes;
    }

    void sendToStream(std::string_view bytes)
    {
        asio::write(*m_client, asio::buffer(bytes.data(), bytes.size()));
    }

    void run()
    {
        m_context.run();
    }

private:
    asio::io_context m_context;
    std::unique_ptr<asio::ip::tcp::socket> m_client;
    std::unique_ptr<metered_socket> m_stream;
};

std::shared_ptr<connection_account> makeAccount()
{
    return std::make_shared<connection_account>(account_limits{});
}

// How often an operation had been moved when its buffers were looked at for the first time.
struct operation_watch
{
    int moves = 0;
    std::optional<int> movesAtFirstLook;
};

class watched_operation
{
public:
    explicit watched_operation(operation_watch &watch)
        : m_watch(&watch)
    {
    }
    watched_operation(watched_operation &&other) noexcept
        : m_watch(other.m_watch)
    {
        ++m_watch->moves;
    }
    watched_operation &operator=(watched_operation &&) = delete;

    void operator()(const asio::error_code &error, std::size_t)
    {
        CHECK(!error);
    }

private:
    operation_watch *m_watch;
};

// A buffer sequence of Asio that notes the first look at it.
class watched_buffers
{
public:
    watched_buffers(operation_watch &watch, std::string_view text)
        : m_watch(&watch)
        , m_buffer(text.data(), text.size())
    {
    }

    const asio::const_buffer *begin() const
    {
        if (!m_watch->movesAtFirstLook) {
            m_watch->movesAtFirstLook = m_watch->moves;
        }
        return &m_buffer;
    }
    const asio::const_buffer *end() const
    {
        return &m_buffer + 1;
    }

private:
    operation_watch *m_watch;
    asio::const_buffer m_buffer;
};

std::string writeInPieces(std::shared_ptr<connection_account> account, std::string_view head, std::string_view body)
{
    connected_pair pair(std::move(account));
    // A vector, because one that was moved from is empty.
    const std::vector<asio::const_buffer> buffers{asio::const_buffer(head.data(), head.size()), asio::const_buffer(body.data(), body.size())};
    asio::async_write(pair.stream(), buffers, [&](const asio::error_code &error, std::size_t written) {
        CHECK(!error);
        CHECK(written == head.size() + body.size());
    });
    return pair.sentBytes();
}

std::string readWhole(std::shared_ptr<connection_account> account, std::string_view sent)
{
    connected_pair pair(std::move(account));
    pair.sendToStream(sent);
    std::string received(sent.size(), '\0');
    asio::async_read(pair.stream(), asio::buffer(received), [&](const asio::error_code &error, std::size_t length) {
        CHECK(!error);
        CHECK(length == sent.size());
    });
    pair.run();
    return received;
}

} // namespace

// Guards against a server that reads and handles requests, but sends empty answers: no caller is served.
TEST_CASE("a metered socket transfers what an operation holds, however the compiler orders a call's arguments")
{
    SUBCASE("the buffers are charged before the operation is moved")
    {
        connected_pair pair(makeAccount());
        operation_watch watch;
        watched_operation operation(watch);
        pair.stream().async_write_some(watched_buffers(watch, "body"), std::move(operation));
        CHECK(pair.sentBytes() == "body");
        REQUIRE(watch.movesAtFirstLook.has_value());
        CHECK(*watch.movesAtFirstLook == 0);
    }
    SUBCASE("Asio's composed operations transfer everything")
    {
        const std::string body = "body";
        SUBCASE("writing without an account")
        {
            CHECK(writeInPieces(nullptr, "status ", body) == "status body");
        }
        SUBCASE("writing with an account")
        {
            CHECK(writeInPieces(makeAccount(), "status ", body) == "status body");
        }
        SUBCASE("reading without an account")
        {
            CHECK(readWhole(nullptr, body) == body);
        }
        SUBCASE("reading with an account")
        {
            CHECK(readWhole(makeAccount(), body) == body);
        }
    }
}
