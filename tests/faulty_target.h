#pragma once

// A target for tests that produces chosen faults.
//
//     faulty_target target;
//     target.mode = target_mode::Truncate;

#include <asio.hpp>

#include <poll.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace daisypass {

enum class target_mode {
    Answer,
    Fail,
    Refuse,
    Truncate,
    /** Answers with the id of another request. */
    WrongId,
    CloseEarly,
    /** Does not answer until `stallReleased` is set. */
    Stall,
};

// Serves one request at a time per connection, as `mode` says. `runs` counts the requests that a real target would have run.
class faulty_target
{
public:
    faulty_target()
        : m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0})
        , m_thread([this] {
            run();
        })
    {
    }

    ~faulty_target()
    {
        m_stopping = true;
        asio::ip::tcp::socket wake(m_context);
        asio::error_code ignored;
        wake.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
        for (std::thread &connection : m_connections) {
            connection.join();
        }
    }

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

    std::atomic<target_mode> mode{target_mode::Answer};
    std::atomic<int> runs{0};
    std::atomic<int> accepted{0};
    /** In mode Stall: whether the stalled requests are answered now. */
    std::atomic<bool> stallReleased{false};

private:
    void run()
    {
        while (true) {
            std::shared_ptr<asio::ip::tcp::socket> connection = std::make_shared<asio::ip::tcp::socket>(m_context);
            m_acceptor.accept(*connection);
            if (m_stopping) {
                return;
            }
            ++accepted;
            m_connections.emplace_back([this, connection] {
                serve(*connection);
            });
        }
    }

    bool waitReadable(asio::ip::tcp::socket &connection) const
    {
        while (!m_stopping) {
            pollfd readable{connection.native_handle(), POLLIN, 0};
            constexpr int sliceMs = 10;
            if (poll(&readable, 1, sliceMs) > 0) {
                return true;
            }
        }
        return false;
    }

    void serve(asio::ip::tcp::socket &connection)
    {
        std::string input;
        while (waitReadable(connection)) {
            asio::error_code error;
            const std::size_t length = asio::read_until(connection, asio::dynamic_buffer(input), "\r\n\r\n", error);
            if (error) {
                return;
            }
            const std::string head = input.substr(0, length);
            input.clear();
            if (!answer(connection, valueOf(head, "Daisypass-Request-Id: "))) {
                return;
            }
        }
    }

    static std::string valueOf(const std::string &head, const std::string &name)
    {
        const std::size_t at = head.find(name);
        return at == std::string::npos ? "" : head.substr(at + name.size(), head.find('\r', at) - at - name.size());
    }

    bool answer(asio::ip::tcp::socket &connection, const std::string &id)
    {
        const target_mode currentMode = mode;
        if (currentMode != target_mode::Refuse) {
            ++runs;
        }
        if (currentMode == target_mode::CloseEarly) {
            return false;
        }
        while (currentMode == target_mode::Stall && !stallReleased) {
            if (m_stopping) {
                return false;
            }
            std::this_thread::yield();
        }
        std::string status = "200 OK";
        std::string headers = "Daisypass-Request-Id: " + (currentMode == target_mode::WrongId ? "0000000000000001-1" : id) + "\r\n";
        if (currentMode == target_mode::Refuse) {
            status = "503 Busy";
            headers += "Daisypass-Not-Run: slots\r\n";
        } else if (currentMode == target_mode::Fail) {
            status = "500 Failed";
        }
        const std::string body = "answer to " + id;
        const std::size_t contentLength = body.size() + (currentMode == target_mode::Truncate ? 10 : 0);
        const std::string text = "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(contentLength) + "\r\n\r\n" + body;
        asio::error_code error;
        asio::write(connection, asio::buffer(text), error);
        return !error && currentMode != target_mode::Truncate;
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopping{false};
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace daisypass
