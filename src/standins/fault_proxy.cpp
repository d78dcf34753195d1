#include "standins/fault_proxy.h"

#include <asio/connect.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <future>

namespace daisypass {
namespace {

constexpr std::size_t bufferBytes = 16 << 10;

} // namespace

// One direction of a connection. It holds one chunk at a time: reads it, delays it as the faults require, writes it, and reads the next.
struct proxy_direction
{
    asio::ip::tcp::socket *from = nullptr;
    asio::ip::tcp::socket *to = nullptr;
    bool toServer = true;
    std::uint64_t forwardedBytes = 0;
    std::size_t bufferedBytes = 0;
    bool isFrozen = false;
    std::array<char, bufferBytes> buffer{};
    std::unique_ptr<asio::steady_timer> timer;
};

class proxy_connection : public std::enable_shared_from_this<proxy_connection>
{
public:
    proxy_connection(fault_proxy &proxy, asio::ip::tcp::socket client)
        : m_proxy(proxy)
        , m_client(std::move(client))
        , m_server(proxy.m_context)
    {
        m_requests.from = &m_client;
        m_requests.to = &m_server;
        m_answers.from = &m_server;
        m_answers.to = &m_client;
        m_answers.toServer = false;
        for (proxy_direction *direction : {&m_requests, &m_answers}) {
            direction->timer = std::make_unique<asio::steady_timer>(proxy.m_context);
        }
    }

    void start()
    {
        const asio::ip::tcp::endpoint server(asio::ip::make_address(m_proxy.m_forward.address), m_proxy.m_forward.port);
        m_server.async_connect(server, [self = shared_from_this()](const asio::error_code &error) {
            if (error) {
                self->close();
                return;
            }
            asio::error_code ignored;
            self->m_client.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->m_server.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->read(self->m_requests);
            self->read(self->m_answers);
        });
    }

    void close()
    {
        asio::error_code ignored;
        m_client.close(ignored);
        m_server.close(ignored);
        m_requests.timer->cancel();
        m_answers.timer->cancel();
    }

    /** Forwards the chunks that a freeze has held back. */
    void resume()
    {
        for (proxy_direction *direction : {&m_requests, &m_answers}) {
            if (direction->isFrozen) {
                direction->isFrozen = false;
                forwardBuffer(*direction);
            }
        }
    }

private:
    bool applies(const proxy_direction &direction) const
    {
        return direction.toServer ? m_proxy.m_faults.toServer : m_proxy.m_faults.toClient;
    }

    void read(proxy_direction &direction)
    {
        direction.from->async_read_some(asio::buffer(direction.buffer),
                                        [self = shared_from_this(), &direction](const asio::error_code &error, std::size_t size) {
                                            if (error) {
                                                self->halfClose(direction);
                                                return;
                                            }
                                            direction.bufferedBytes = size;
                                            self->forwardBuffer(direction);
                                        });
    }

    void halfClose(proxy_direction &direction)
    {
        // Only this direction is shut down, because the other may still carry an answer.
        asio::error_code ignored;
        direction.to->shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        if (++m_halfClosed == 2) {
            close();
        }
    }

    void forwardBuffer(proxy_direction &direction)
    {
        if (applies(direction) && m_proxy.m_faults.freeze) {
            direction.isFrozen = true;
            return;
        }
        if (!applies(direction) || m_proxy.m_faults.delay.count() == 0) {
            write(direction);
            return;
        }
        direction.timer->expires_after(m_proxy.m_faults.delay);
        direction.timer->async_wait([self = shared_from_this(), &direction](const asio::error_code &error) {
            if (!error) {
                self->write(direction);
            }
        });
    }

    void write(proxy_direction &direction)
    {
        std::size_t size = direction.bufferedBytes;
        bool last = false;
        if (applies(direction) && m_proxy.m_faults.truncateAfter) {
            const std::uint64_t limit = *m_proxy.m_faults.truncateAfter;
            const std::uint64_t left = limit > direction.forwardedBytes ? limit - direction.forwardedBytes : 0;
            last = left <= size;
            size = std::min<std::size_t>(size, left);
        }
        direction.forwardedBytes += size;
        (direction.toServer ? m_proxy.m_statistics.bytesToServer : m_proxy.m_statistics.bytesToClient) += size;
        asio::async_write(*direction.to,
                          asio::buffer(direction.buffer.data(), size),
                          [self = shared_from_this(), &direction, last](const asio::error_code &error, std::size_t) {
                              if (error || last) {
                                  self->close();
                                  return;
                              }
                              self->read(direction);
                          });
    }

    fault_proxy &m_proxy;
    asio::ip::tcp::socket m_client;
    asio::ip::tcp::socket m_server;
    proxy_direction m_requests;
    proxy_direction m_answers;
    int m_halfClosed = 0;
};

fault_proxy::fault_proxy(endpoint listen, endpoint forward)
    : m_listen(std::move(listen))
    , m_forward(std::move(forward))
    , m_work(asio::make_work_guard(m_context))
    , m_acceptor(m_context)
{
}

fault_proxy::~fault_proxy()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

bool fault_proxy::start(failure &reason)
{
    try {
        const asio::ip::tcp::endpoint address(asio::ip::make_address(m_listen.address), m_listen.port);
        m_acceptor.open(address.protocol());
        m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        m_acceptor.bind(address);
        m_acceptor.listen();
        m_port = m_acceptor.local_endpoint().port();
    } catch (const std::exception &error) {
        reason = failure{failure_code::ListenFailed, toString(m_listen) + ' ' + error.what(), {}, "a free local address"};
        return false;
    }
    accept();
    m_thread = std::thread([this] {
        m_context.run();
    });
    return true;
}

std::uint16_t fault_proxy::port() const
{
    return m_port;
}

endpoint fault_proxy::forward() const
{
    return m_forward;
}

void fault_proxy::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error) {
            return;
        }
        if (m_faults.cut) {
            // Closes with a reset, like a host that refuses connections; an orderly close would look like a truncated answer.
            asio::error_code ignored;
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
            socket.close(ignored);
            ++m_statistics.refused;
        } else {
            ++m_statistics.connections;
            std::erase_if(m_connections, [](const std::weak_ptr<proxy_connection> &connection) {
                return connection.expired();
            });
            std::shared_ptr<proxy_connection> connection = std::make_shared<proxy_connection>(*this, std::move(socket));
            m_connections.push_back(connection);
            connection->start();
        }
        accept();
    });
}

void fault_proxy::set(const proxy_faults &faults)
{
    std::promise<void> done;
    asio::post(m_context, [&] {
        m_faults = faults;
        for (const std::weak_ptr<proxy_connection> &entry : m_connections) {
            const std::shared_ptr<proxy_connection> connection = entry.lock();
            if (connection && faults.cut) {
                connection->close();
            } else if (connection) {
                connection->resume();
            }
        }
        done.set_value();
    });
    done.get_future().wait();
}

proxy_faults fault_proxy::faults()
{
    std::promise<proxy_faults> copy;
    asio::post(m_context, [&] {
        copy.set_value(m_faults);
    });
    return copy.get_future().get();
}

fault_proxy::statistics fault_proxy::stats()
{
    std::promise<statistics> copy;
    asio::post(m_context, [&] {
        copy.set_value(m_statistics);
    });
    return copy.get_future().get();
}

} // namespace daisypass
