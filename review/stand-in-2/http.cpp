#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <optional>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr int backlog = 128;
constexpr std::size_t readSize = 65'536;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::uint16_t portOf(int socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

int listenOn(std::uint16_t port)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = loopback(port);
    const bool listens = bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0 && listen(listener, backlog) == 0;
    if (!listens) {
        close(listener);
        return -1;
    }
    return listener;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

std::string decodeQuery(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i] == '+' ? ' ' : text[i];
        }
    }
    return decoded;
}

std::map<std::string, std::string> parseQuery(const std::string &text)
{
    std::map<std::string, std::string> query;
    std::size_t at = 0;
    while (at < text.size()) {
        const std::size_t end = std::min(text.find('&', at), text.size());
        const std::string pair = text.substr(at, end - at);
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos) {
            query[decodeQuery(pair.substr(0, equals))] = decodeQuery(pair.substr(equals + 1));
        }
        at = end + 1;
    }
    return query;
}

bool sendAll(int connection, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = send(connection, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/** Reads messages, a head and a body of the length that the head gives, from a connection. */
class message_reader
{
public:
    explicit message_reader(int connection)
        : m_connection(connection)
    {
    }

    /** The first line is stored under an empty name. */
    std::optional<std::map<std::string, std::string>> readHead()
    {
        const std::string headEnd = "\r\n\r\n";
        std::size_t end = 0;
        while ((end = m_buffer.find(headEnd)) == std::string::npos) {
            if (!fill()) {
                return std::nullopt;
            }
        }
        std::map<std::string, std::string> head;
        std::size_t at = 0;
        while (at < end) {
            const std::size_t lineEnd = std::min(m_buffer.find("\r\n", at), end);
            const std::string line = m_buffer.substr(at, lineEnd - at);
            const std::size_t colon = line.find(": ");
            if (at == 0) {
                head[""] = line;
            } else if (colon != std::string::npos) {
                head[lowerCase(line.substr(0, colon))] = line.substr(colon + 2);
            }
            at = lineEnd + 2;
        }
        m_buffer.erase(0, end + headEnd.size());
        return head;
    }

    std::optional<std::string> readBody(const std::map<std::string, std::string> &head)
    {
        const auto length = head.find("content-length");
        const std::size_t size = length == head.end() ? 0 : std::stoul(length->second);
        while (m_buffer.size() < size) {
            if (!fill()) {
                return std::nullopt;
            }
        }
        std::string body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return body;
    }

private:
    bool fill()
    {
        char data[readSize];
        const ssize_t count = recv(m_connection, data, sizeof(data), 0);
        if (count <= 0) {
            return false;
        }
        m_buffer.append(data, static_cast<std::size_t>(count));
        return true;
    }

    int m_connection;
    std::string m_buffer;
};

http_request requestOf(const std::map<std::string, std::string> &head, std::string body)
{
    http_request request;
    const std::string &line = head.at("");
    const std::size_t method = line.find(' ');
    const std::size_t target = line.find(' ', method + 1);
    request.method = line.substr(0, method);
    const std::string path = line.substr(method + 1, target - method - 1);
    const std::size_t question = path.find('?');
    request.path = path.substr(0, question);
    if (question != std::string::npos) {
        request.query = parseQuery(path.substr(question + 1));
    }
    request.headers = head;
    request.body = std::move(body);
    return request;
}

} // namespace

http_server::http_server(http_handler handler)
    : m_handler(std::move(handler))
{
}

bool http_server::start(std::uint16_t port)
{
    const int listener = listenOn(port);
    if (listener < 0) {
        return false;
    }
    m_port = portOf(listener);
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_listener = listener;
    }
    std::thread([this, listener] {
        accept(listener);
    }).detach();
    return true;
}

void http_server::accept(int listener)
{
    while (true) {
        const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        const std::lock_guard<std::mutex> guard(m_lock);
        if (connection < 0 || m_listener != listener) {
            if (connection >= 0) {
                close(connection);
            }
            close(listener);
            return;
        }
        m_connections.insert(connection);
        std::thread([this, connection] {
            serve(connection);
        }).detach();
    }
}

void http_server::serve(int connection)
{
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    message_reader reader(connection);
    while (true) {
        const std::optional<std::map<std::string, std::string>> head = reader.readHead();
        if (!head) {
            break;
        }
        if (head->contains("expect") && !sendAll(connection, "HTTP/1.1 100 Continue\r\n\r\n")) {
            break;
        }
        std::optional<std::string> body = reader.readBody(*head);
        if (!body) {
            break;
        }
        const http_response response = m_handler(requestOf(*head, std::move(*body)));
        if (response.unanswered) {
            break;
        }
        const std::string text = "HTTP/1.1 " + std::to_string(response.status)
            + " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
        if (!sendAll(connection, text)) {
            break;
        }
    }
    const std::lock_guard<std::mutex> guard(m_lock);
    m_connections.erase(connection);
    close(connection);
}

void http_server::crash()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    // The thread that accepts closes the port.
    shutdown(std::exchange(m_listener, -1), SHUT_RDWR);
    for (const int connection : m_connections) {
        const linger reset{1, 0};
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        shutdown(connection, SHUT_RDWR);
    }
}

// Takes ports below those that the system gives to outgoing connections, each pair only once, and begins at a place of this process's own.
std::uint16_t freePortPair()
{
    constexpr int firstPort = 12'000;
    constexpr int portCount = 18'000;
    static int next = static_cast<int>(getpid()) * 24 % portCount;
    while (true) {
        const std::uint16_t port = static_cast<std::uint16_t>(firstPort + next);
        next = (next + 2) % portCount;
        const int first = listenOn(port);
        const int second = first < 0 ? -1 : listenOn(static_cast<std::uint16_t>(port + 1));
        for (const int listener : {first, second}) {
            if (listener >= 0) {
                close(listener);
            }
        }
        if (second >= 0) {
            return port;
        }
    }
}

http_response call(std::uint16_t port, const std::string &method, const std::string &path, const std::string &host, const std::string &body, int timeoutMs)
{
    constexpr int msPerSecond = 1'000;
    http_response response;
    response.status = 0;
    const int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout{timeoutMs / msPerSecond, timeoutMs % msPerSecond * msPerSecond};
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    const sockaddr_in address = loopback(port);
    const std::string text = method + ' ' + path + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/json\r\nX-Daisypass-Deadline-Ms: "
        + std::to_string(timeoutMs) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const bool sent = connect(connection, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0 && sendAll(connection, text);
    if (sent) {
        message_reader reader(connection);
        const std::optional<std::map<std::string, std::string>> head = reader.readHead();
        const std::optional<std::string> answer = head ? reader.readBody(*head) : std::nullopt;
        if (answer) {
            const std::string &line = head->at("");
            response.status = std::stoi(line.substr(line.find(' ') + 1));
            response.body = *answer;
        }
    }
    close(connection);
    return response;
}

} // namespace review
