#include "integration/client_crowd.h"

#include <asio.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <thread>
#include <vector>

namespace daisypass::integration {
namespace {

// Connections that are being opened at a time, below the length of a listener's queue.
constexpr int connectsAtATime = 32;
constexpr std::chrono::milliseconds observeInterval{20};
constexpr std::chrono::seconds quietTime{1};

} // namespace

struct client_crowd::implementation
{
    struct client
    {
        explicit client(asio::io_context &context)
            : socket(context)
            , pause(context)
        {
        }

        asio::ip::tcp::socket socket;
        asio::steady_timer pause;
        std::size_t sent = 0;
        std::array<char, 4'096> input{};
    };

    explicit implementation(crowd_options given)
        : options(std::move(given))
        , address(asio::ip::address_v4::loopback(), options.port)
    {
        for (int i = 0; i < options.connections; ++i) {
            clients.push_back(std::make_unique<client>(context));
        }
        for (int i = 0; i < std::min(connectsAtATime, options.connections); ++i) {
            connectNext();
        }
        thread = std::thread([this] {
            context.run();
        });
    }

    ~implementation()
    {
        context.stop();
        thread.join();
    }

    void connectNext()
    {
        if (next == clients.size()) {
            return;
        }
        client &one = *clients[next++];
        one.socket.async_connect(address, [this, &one](const asio::error_code &error) {
            connectNext();
            if (error) {
                return;
            }
            ++moved;
            sendPiece(one);
            if (options.reads) {
                readSome(one);
            }
        });
    }

    void sendPiece(client &one)
    {
        const std::size_t left = options.bytes.size() - one.sent;
        const std::size_t length = options.pieceBytes == 0 ? left : std::min(left, options.pieceBytes);
        if (length == 0) {
            return;
        }
        one.socket.async_write_some(asio::buffer(options.bytes.data() + one.sent, length), [this, &one](const asio::error_code &error, std::size_t written) {
            if (error) {
                closeClient(one);
                return;
            }
            moved += written;
            one.sent += written;
            sendAfterPause(one);
        });
    }

    void sendAfterPause(client &one)
    {
        if (options.pauseBetweenPieces.count() == 0) {
            sendPiece(one);
            return;
        }
        one.pause.expires_after(options.pauseBetweenPieces);
        one.pause.async_wait([this, &one](const asio::error_code &error) {
            if (!error) {
                sendPiece(one);
            }
        });
    }

    void readSome(client &one)
    {
        one.socket.async_read_some(asio::buffer(one.input), [this, &one](const asio::error_code &error, std::size_t length) {
            if (error) {
                closeClient(one);
                return;
            }
            moved += length;
            readSome(one);
        });
    }

    static void closeClient(client &one)
    {
        asio::error_code ignored;
        one.pause.cancel();
        one.socket.close(ignored);
    }

    crowd_options options;
    asio::ip::tcp::endpoint address;
    asio::io_context context;
    std::vector<std::unique_ptr<client>> clients;
    std::size_t next = 0;
    std::atomic<std::uint64_t> moved{0};
    std::thread thread;
};

client_crowd::client_crowd(crowd_options options)
    : m_implementation(std::make_unique<implementation>(std::move(options)))
{
}

client_crowd::~client_crowd() = default;

void client_crowd::settle(const std::function<void()> &observe, std::chrono::milliseconds bound)
{
    using clock = std::chrono::steady_clock;
    const clock::time_point end = clock::now() + bound;
    clock::time_point movedAt = clock::now();
    std::uint64_t moved = m_implementation->moved;
    while (clock::now() < end && clock::now() - movedAt < quietTime) {
        std::this_thread::sleep_for(observeInterval);
        observe();
        const std::uint64_t current = m_implementation->moved;
        if (current != moved) {
            moved = current;
            movedAt = clock::now();
        }
    }
}

} // namespace daisypass::integration
