#include "wire.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <random>

namespace review {
namespace {

constexpr const char *alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int listenOn(std::uint16_t port)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    constexpr int backlog = 512;
    if (::bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(listener, backlog) != 0) {
        ::close(listener);
        return -1;
    }
    return listener;
}

std::uint16_t portOf(int socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

bool sendAll(int socket, const std::string &data)
{
    std::size_t sent = 0;
    while (sent < data.size()) {
        const ssize_t written = ::send(socket, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
        if (written <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(written);
    }
    return true;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

std::string trimmed(const std::string &text)
{
    const std::size_t first = text.find_first_not_of(" \t\r\n");
    return first == std::string::npos ? std::string() : text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

std::string unescaped(const std::string &text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            plain += text[i] == '+' ? ' ' : text[i];
        }
    }
    return plain;
}

/** The parts of a message that was read from a socket. */
struct message
{
    std::string firstLine;
    std::map<std::string, std::string> headers;
    std::string body;
};

// Reads one message with a Content-Length; `buffer` keeps what follows it. False at the end of the connection or at the deadline.
bool readMessage(int socket, std::string &buffer, message &read, std::int64_t deadline)
{
    const std::function<bool()> receive = [&] {
        if (deadline != 0) {
            pollfd ready{socket, POLLIN, 0};
            const std::int64_t left = deadline - nowMs();
            if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left)) <= 0) {
                return false;
            }
        }
        char chunk[16384];
        const ssize_t size = ::recv(socket, chunk, sizeof chunk, 0);
        if (size <= 0) {
            return false;
        }
        buffer.append(chunk, static_cast<std::size_t>(size));
        return true;
    };
    std::size_t end = buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!receive()) {
            return false;
        }
        end = buffer.find("\r\n\r\n");
    }
    const std::string head = buffer.substr(0, end + 2);
    std::size_t at = head.find("\r\n");
    read.firstLine = head.substr(0, at);
    read.headers.clear();
    while (at + 2 < head.size()) {
        const std::size_t next = head.find("\r\n", at + 2);
        const std::string line = head.substr(at + 2, next - at - 2);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            read.headers[lowerCase(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
        }
        at = next;
    }
    const std::size_t length = static_cast<std::size_t>(std::atoll(read.headers["content-length"].c_str()));
    while (buffer.size() < end + 4 + length) {
        if (!receive()) {
            return false;
        }
    }
    read.body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

request toRequest(message read)
{
    request result;
    const std::size_t first = read.firstLine.find(' ');
    const std::size_t second = read.firstLine.find(' ', first + 1);
    result.method = read.firstLine.substr(0, first);
    std::string target = read.firstLine.substr(first + 1, second - first - 1);
    const std::size_t mark = target.find('?');
    if (mark != std::string::npos) {
        std::string rest = target.substr(mark + 1) + '&';
        target.resize(mark);
        for (std::size_t end = rest.find('&'); end != std::string::npos; end = rest.find('&')) {
            const std::string pair = rest.substr(0, end);
            const std::size_t equals = pair.find('=');
            if (equals != std::string::npos) {
                result.query[pair.substr(0, equals)] = unescaped(pair.substr(equals + 1));
            }
            rest.erase(0, end + 1);
        }
    }
    result.path = target;
    result.headers = std::move(read.headers);
    result.body = std::move(read.body);
    return result;
}

} // namespace

std::int64_t nowMs()
{
    static const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start).count();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string encodeBase64(const std::string &text)
{
    std::string encoded;
    std::uint32_t bits = 0;
    int count = 0;
    for (const unsigned char byte : text) {
        bits = bits << 8U | byte;
        count += 8;
        while (count >= 6) {
            count -= 6;
            encoded += alphabet[bits >> static_cast<unsigned>(count) & 63U];
        }
    }
    if (count > 0) {
        encoded += alphabet[bits << static_cast<unsigned>(6 - count) & 63U];
    }
    while (encoded.size() % 4 != 0) {
        encoded += '=';
    }
    return encoded;
}

std::string decodeBase64(const std::string &text)
{
    static const std::string letters(alphabet);
    std::string plain;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char letter : text) {
        const std::size_t value = letters.find(letter);
        if (value == std::string::npos) {
            break;
        }
        bits = bits << 6U | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            plain += static_cast<char>(bits >> static_cast<unsigned>(count) & 255U);
        }
    }
    return plain;
}

std::string request::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string request::parameter(const std::string &name) const
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

std::int64_t request::number(const std::string &name) const
{
    return std::atoll(parameter(name).c_str());
}

server::server(handler handle)
    : m_handle(std::move(handle))
{
    open();
}

server::~server()
{
    close();
}

std::string server::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

bool server::open()
{
    const int listener = listenOn(m_port);
    if (listener < 0) {
        return false;
    }
    m_port = portOf(listener);
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_listener = listener;
    }
    std::thread([this, listener] {
        acceptAll(listener);
    }).detach();
    return true;
}

void server::close()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    if (m_listener >= 0) {
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        m_listener = -1;
    }
    for (const int socket : m_sockets) {
        ::shutdown(socket, SHUT_RDWR);
    }
}

bool server::isSilent(int socket)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_silent.contains(socket);
}

void server::makeSilent(int socket)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_silent.insert(socket);
}

void server::acceptAll(int listener)
{
    while (true) {
        const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            return;
        }
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        {
            const std::lock_guard<std::mutex> guard(m_lock);
            m_sockets.insert(socket);
        }
        std::thread([this, socket] {
            serve(socket);
        }).detach();
    }
}

void server::serve(int socket)
{
    std::string buffer;
    message read;
    while (readMessage(socket, buffer, read, 0)) {
        if (isSilent(socket)) {
            continue;
        }
        const std::optional<response> answer = m_handle(toRequest(std::move(read)));
        if (!answer) {
            break;
        }
        if (answer->status == statusLost) {
            makeSilent(socket);
        }
        if (isSilent(socket)) {
            continue;
        }
        const std::string head = "HTTP/1.1 " + std::to_string(answer->status)
            + " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(answer->body.size()) + "\r\n\r\n";
        if (!sendAll(socket, head + answer->body)) {
            break;
        }
        read = {};
    }
    const std::lock_guard<std::mutex> guard(m_lock);
    m_sockets.erase(socket);
    m_silent.erase(socket);
    ::close(socket);
}

// The ports are below those that the system gives to outgoing connections, so that none of these takes one before the node listens on it.
std::uint16_t freePorts(int count)
{
    constexpr int lowest = 12'000;
    constexpr int highest = 32'000;
    std::random_device random;
    std::uniform_int_distribution<int> pick(lowest, highest - count);
    while (true) {
        const int port = pick(random);
        std::vector<int> listeners;
        for (int i = 0; i < count; ++i) {
            listeners.push_back(listenOn(static_cast<std::uint16_t>(port + i)));
        }
        const bool free = std::find(listeners.begin(), listeners.end(), -1) == listeners.end();
        for (const int listener : listeners) {
            if (listener >= 0) {
                ::close(listener);
            }
        }
        if (free) {
            return static_cast<std::uint16_t>(port);
        }
    }
}

response fetch(const std::string &address,
               const std::string &method,
               const std::string &path,
               const std::map<std::string, std::string> &headers,
               const std::string &body,
               std::int64_t timeoutMs)
{
    const std::int64_t deadline = nowMs() + timeoutMs;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = loopback(static_cast<std::uint16_t>(std::atoi(address.substr(address.find(':') + 1).c_str())));
    response result{0, ""};
    std::string text = method + ' ' + path + " HTTP/1.1\r\n";
    for (const std::pair<const std::string, std::string> &field : headers) {
        text += field.first + ": " + field.second + "\r\n";
    }
    if (!headers.contains("Host")) {
        text += "Host: " + address + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer;
    message read;
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0 && sendAll(socket, text)
        && readMessage(socket, buffer, read, deadline)) {
        result.status = std::atoi(read.firstLine.substr(read.firstLine.find(' ') + 1).c_str());
        result.body = read.body;
    }
    ::close(socket);
    return result;
}

} // namespace review
