#include "http/metered_socket.h"

#include "http/http_server.h"

#include <algorithm>
#include <string_view>

namespace daisypass {
namespace {

// Holds the account of an I/O context. RESTinio creates its sockets from the context alone.
class account_service : public asio::execution_context::service
{
public:
    using key_type = account_service;

    static inline asio::execution_context::id id;

    explicit account_service(asio::execution_context &context)
        : asio::execution_context::service(context)
    {
    }

    std::shared_ptr<connection_account> account;

private:
    void shutdown() noexcept override
    {
    }
};

std::string_view refusalText(client_refusal reason)
{
    switch (reason) {
    case client_refusal::RequestTooLarge:
        return "HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    case client_refusal::RequestTooSlow:
        return "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    case client_refusal::ConnectionLimit:
    case client_refusal::MemoryLimit:
        break;
    }
    return "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
}

} // namespace

connection_account::time_ms awakeMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

void chargeConnections(asio::io_context &context, std::shared_ptr<connection_account> account)
{
    asio::use_service<account_service>(context).account = std::move(account);
}

std::shared_ptr<connection_account> accountOf(asio::io_context &context)
{
    return asio::has_service<account_service>(context) ? asio::use_service<account_service>(context).account : nullptr;
}

metered_socket::metered_socket(asio::io_context &context)
    : asio::ip::tcp::socket(context)
    , m_account(accountOf(context))
{
}

metered_socket::metered_socket(metered_socket &&other) noexcept
    : asio::ip::tcp::socket(std::move(static_cast<asio::ip::tcp::socket &>(other)))
    , m_account(other.m_account) // NOLINT(performance-move-constructor-init): the acceptor uses the moved-from socket for the next connection.
{
}

metered_socket::~metered_socket()
{
    leaveAccount();
}

void metered_socket::close()
{
    // A paused read must not go on: it would open a new entry for a closed socket.
    m_refused = true;
    if (m_pause) {
        m_pause->cancel();
    }
    asio::ip::tcp::socket::close();
    leaveAccount();
}

read_decision metered_socket::decideRead()
{
    if (m_refused) {
        return read_decision::Refuse;
    }
    const connection_account::time_ms now = awakeMillis();
    if (!m_number) {
        m_number = m_account->open(now, [this](client_refusal reason, bool requestBegun) {
            refuse(reason, requestBegun);
        });
        if (!m_number) {
            refuse(client_refusal::ConnectionLimit, true);
            return read_decision::Refuse;
        }
    }
    return m_account->beforeRead(*m_number, now);
}

bool metered_socket::afterRead(const asio::mutable_buffer &buffer, std::size_t length)
{
    if (!m_number) {
        return !m_refused;
    }
    const char *bytes = static_cast<const char *>(buffer.data());
    const std::size_t lines = static_cast<std::size_t>(std::count(bytes, bytes + length, '\n'));
    m_account->afterRead(*m_number, length, lines, awakeMillis());
    return true;
}

void metered_socket::beforeWrite(std::size_t bytes)
{
    if (m_number) {
        m_account->beforeWrite(*m_number, bytes, awakeMillis());
    }
}

void metered_socket::afterWrite()
{
    if (m_number) {
        m_account->afterWrite(*m_number);
    }
}

void metered_socket::refuse(client_refusal reason, bool sendsRefusal)
{
    m_refused = true;
    m_number.reset();
    asio::error_code ignored;
    if (sendsRefusal) {
        // Nothing else has been written since the last answer, so a few bytes fit in the send buffer. What doesn't fit is given up.
        non_blocking(true, ignored);
        const std::string_view text = refusalText(reason);
        write_some(asio::buffer(text.data(), text.size()), ignored);
    }
    // Ends a pending read or write, after which the server closes the socket.
    shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    if (m_pause) {
        m_pause->cancel();
    }
}

void metered_socket::leaveAccount()
{
    if (m_number) {
        m_account->close(*m_number);
        m_number.reset();
    }
}

} // namespace daisypass
