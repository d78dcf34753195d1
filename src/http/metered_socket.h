#pragma once

// A TCP socket whose reads and writes are charged to the connection account of its I/O context, if that has one. RESTinio's connections use
// it as their stream.

#include "http/connection_account.h"

#include <asio.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <type_traits>
#include <utility>

namespace daisypass {

/** The account of the context's servers; null if their connections aren't charged. */
std::shared_ptr<connection_account> accountOf(asio::io_context &context);

/** A clock for accounts, in ms. It stands still while the machine is suspended, because no client can make progress then. */
connection_account::time_ms awakeMillis();

class metered_socket : public asio::ip::tcp::socket
{
public:
    explicit metered_socket(asio::io_context &context);
    /** Only a socket that hasn't read yet can be moved, because its account refers to it from then on. */
    metered_socket(metered_socket &&other) noexcept;
    metered_socket &operator=(metered_socket &&) = delete;
    ~metered_socket();

    // Asio and RESTinio require the names of the two operations. Like those of Asio's sockets, they move nothing out of a handler before the call:
    // the buffers that a caller passes may live in the handler, and the order in which the arguments are evaluated is unspecified.
    template<typename Handler>
    void async_read_some(const asio::mutable_buffer &buffer, Handler &&handler) // NOLINT(readability-identifier-naming)
    {
        if (!m_account) {
            asio::ip::tcp::socket::async_read_some(buffer, std::forward<Handler>(handler));
            return;
        }
        switch (decideRead()) {
        case read_decision::Read:
            readNow(buffer, std::forward<Handler>(handler));
            return;
        case read_decision::Pause:
            readLater(buffer, std::forward<Handler>(handler));
            return;
        case read_decision::Refuse:
            failLater(std::forward<Handler>(handler));
            return;
        }
    }

    template<typename Buffers, typename Handler>
    void async_write_some(const Buffers &buffers, Handler &&handler) // NOLINT(readability-identifier-naming)
    {
        if (!m_account) {
            asio::ip::tcp::socket::async_write_some(buffers, std::forward<Handler>(handler));
            return;
        }
        beforeWrite(asio::buffer_size(buffers));
        const executor_of<std::decay_t<Handler>> executor = asio::get_associated_executor(handler, get_executor());
        asio::ip::tcp::socket::async_write_some(
            buffers,
            asio::bind_executor(
                executor, [this, handler = std::decay_t<Handler>(std::forward<Handler>(handler))](const asio::error_code &error, std::size_t written) mutable {
                    afterWrite();
                    handler(error, written);
                }));
    }

    /** Closes the socket and ends its entry in the account. */
    void close();

private:
    static constexpr std::chrono::milliseconds pause{50};

    read_decision decideRead();
    /** Returns false if the connection was refused meanwhile. Then the bytes must not reach the parser, which could complete a request of them. */
    bool afterRead(const asio::mutable_buffer &buffer, std::size_t length);
    void beforeWrite(std::size_t bytes);
    void afterWrite();
    /** Sends the refusal, if the client waits for one, and ends the operations that are pending. */
    void refuse(client_refusal reason, bool sendsRefusal);
    void leaveAccount();

    template<typename Handler>
    using executor_of = asio::associated_executor_t<Handler, asio::ip::tcp::socket::executor_type>;

    template<typename Handler>
    void failLater(Handler handler)
    {
        const executor_of<Handler> executor = asio::get_associated_executor(handler, get_executor());
        asio::post(executor, [handler = std::move(handler)]() mutable {
            handler(asio::error_code(asio::error::connection_reset), 0);
        });
    }

    template<typename Handler>
    void readNow(const asio::mutable_buffer &buffer, Handler handler)
    {
        const executor_of<Handler> executor = asio::get_associated_executor(handler, get_executor());
        asio::ip::tcp::socket::async_read_some(
            buffer, asio::bind_executor(executor, [this, buffer, handler = std::move(handler)](const asio::error_code &error, std::size_t length) mutable {
                if (afterRead(buffer, length)) {
                    handler(error, length);
                } else {
                    handler(asio::error_code(asio::error::connection_reset), 0);
                }
            }));
    }

    template<typename Handler>
    void readLater(const asio::mutable_buffer &buffer, Handler handler)
    {
        const executor_of<Handler> executor = asio::get_associated_executor(handler, get_executor());
        m_pause.emplace(get_executor(), pause);
        m_pause->async_wait(asio::bind_executor(executor, [this, buffer, handler = std::move(handler)](const asio::error_code &) mutable {
            async_read_some(buffer, std::move(handler));
        }));
    }

    std::shared_ptr<connection_account> m_account;
    std::optional<connection_account::number> m_number;
    std::optional<asio::steady_timer> m_pause;
    /** Whether the account has refused or closed this connection. */
    bool m_refused = false;
};

} // namespace daisypass
