#include "http/http_client.h"

#include "base/thread_time.h"

#include <asio.hpp>
#include <curl/curl.h>

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <charconv>
#include <deque>
#include <future>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>

namespace daisypass {
namespace {

constexpr int keptHandles = 256;
constexpr long maxConnectionsInCache = 4'096;

struct transfer
{
    http_call call;
    std::function<void(http_result)> done;
    http_response response;
    curl_slist *headerList = nullptr;
    int sends = 0;
    bool resent = false;
    // The answer lacks the header that the call asks for.
    bool foreign = false;

    ~transfer()
    {
        curl_slist_free_all(headerList);
    }
};

std::string_view trimmed(std::string_view text)
{
    const char *blanks = " \t\r\n";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

// The status of a line such as "HTTP/1.1 200 OK", or 0.
int statusIn(std::string_view line)
{
    int status = 0;
    const std::size_t blank = line.find(' ');
    if (blank != std::string_view::npos) {
        std::from_chars(line.data() + blank + 1, line.data() + line.size(), status);
    }
    return status;
}

std::size_t writeBody(char *data, std::size_t size, std::size_t count, void *user)
{
    static_cast<transfer *>(user)->response.body.append(data, size * count);
    return size * count;
}

bool isInterim(const transfer &current)
{
    constexpr int leastFinalStatus = 200;
    return current.response.status < leastFinalStatus;
}

bool echoMatches(const transfer &current)
{
    const std::optional<http_header> &echo = current.call.echo;
    return !echo || isInterim(current) || findHeader(current.response.headers, echo->name) == echo->value;
}

std::size_t writeHeader(char *data, std::size_t size, std::size_t count, void *user)
{
    transfer &current = *static_cast<transfer *>(user);
    const std::string_view line(data, size * count);
    const std::size_t colon = line.find(':');
    if (line.starts_with("HTTP/")) {
        // A new status line follows a 1xx answer; its headers do not belong to the final answer.
        current.response.headers.clear();
        current.response.status = statusIn(line);
    } else if (colon != std::string_view::npos) {
        current.response.headers.push_back({std::string(trimmed(line.substr(0, colon))), std::string(trimmed(line.substr(colon + 1)))});
    } else if (trimmed(line).empty() && !echoMatches(current)) {
        // Ending the transfer here makes libcurl close the connection, whose further bytes may belong to other requests too.
        current.foreign = true;
        return CURL_WRITEFUNC_ERROR;
    }
    return size * count;
}

// libcurl calls this just before it sends a request, and again before it resends one whose reused connection closed
// early. The server may have run the first, so the second is aborted.
int beforeSend(void *user, char *, char *, int, int)
{
    transfer &current = *static_cast<transfer *>(user);
    if (++current.sends > 1) {
        current.resent = true;
        return CURL_PREREQFUNC_ABORT;
    }
    return CURL_PREREQFUNC_OK;
}

failure_code codeOf(CURLcode code)
{
    switch (code) {
    case CURLE_OPERATION_TIMEDOUT:
        return failure_code::Timeout;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
        return failure_code::ConnectFailed;
    default:
        return failure_code::BadAnswer;
    }
}

failure reasonOf(const transfer &item, CURLcode code)
{
    if (item.resent) {
        return failure{failure_code::BadAnswer, "connection closed before the answer"};
    }
    if (item.foreign) {
        return failure{failure_code::BadAnswer, "answer without the header that the call asks for", {}, item.call.echo->name};
    }
    return failure{codeOf(code), curl_easy_strerror(code)};
}

void initialiseLibrary()
{
    static std::once_flag once;
    std::call_once(once, [] {
        curl_global_init(CURL_GLOBAL_DEFAULT);
    });
}

// One multi handle, driven by the readiness of its sockets, so that a call costs the same however many others are waiting.
// Everything but `add` runs on one strand; connections are reused by the worker's own transfers only.
class client_worker : public std::enable_shared_from_this<client_worker>
{
public:
    client_worker(const http_client_options &options, asio::io_context &context)
        : m_options(options)
        , m_context(context)
        , m_strand(asio::make_strand(context))
        , m_timer(m_strand)
        , m_multi(curl_multi_init())
    {
        curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(options.maxConnectionsPerHost));
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxConnectionsInCache);
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &client_worker::onSocketInterest);
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &client_worker::onTimerInterest);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    }

    client_worker(const client_worker &) = delete;
    client_worker &operator=(const client_worker &) = delete;

    ~client_worker()
    {
        for (CURL *handle : m_idleHandles) {
            curl_easy_cleanup(handle);
        }
        curl_multi_cleanup(m_multi);
    }

    void add(std::unique_ptr<transfer> item)
    {
        bool wake = false;
        {
            const std::lock_guard<std::mutex> guard(m_lock);
            wake = m_waiting.empty();
            m_waiting.push_back(std::move(item));
        }
        if (wake) {
            asio::post(m_strand, [self = shared_from_this()] {
                self->startWaiting();
            });
        }
    }

    /** Ends all transfers as timed out. Only when nothing runs on the context any more. */
    void abandonAll()
    {
        m_abandoning = true;
        startWaiting();
        while (!m_active.empty()) {
            complete(m_active.begin()->first, CURLE_OPERATION_TIMEDOUT);
        }
    }

    std::uint64_t bytes() const
    {
        return m_bytes;
    }

private:
    // A socket of libcurl's, watched while a transfer waits for it.
    struct watched_socket
    {
        explicit watched_socket(asio::io_context &context)
            : descriptor(context)
        {
        }

        asio::posix::stream_descriptor descriptor;
        int wanted = CURL_POLL_NONE;
        bool waitingToRead = false;
        bool waitingToWrite = false;
    };

    static int onSocketInterest(CURL *, curl_socket_t socket, int wanted, void *user, void *)
    {
        static_cast<client_worker *>(user)->watch(socket, wanted);
        return 0;
    }

    static int onTimerInterest(CURLM *, long timeoutMs, void *user)
    {
        static_cast<client_worker *>(user)->setTimer(timeoutMs);
        return 0;
    }

    static curl_socket_t onSocketOpened(void *user, curlsocktype, curl_sockaddr *address)
    {
        const curl_socket_t socket = ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
        static_cast<client_worker *>(user)->forgetSocket(socket);
        return socket;
    }

    static int onSocketClosed(void *user, curl_socket_t socket)
    {
        static_cast<client_worker *>(user)->closeSocket(socket);
        return 0;
    }

    void watch(curl_socket_t socket, int wanted)
    {
        std::shared_ptr<watched_socket> &watched = m_sockets[socket];
        if (!watched) {
            watched = std::make_shared<watched_socket>(m_context);
            asio::error_code ignored;
            watched->descriptor.assign(socket, ignored);
        }
        watched->wanted = wanted == CURL_POLL_REMOVE ? CURL_POLL_NONE : wanted;
        waitFor(socket, watched);
    }

    void waitFor(curl_socket_t socket, const std::shared_ptr<watched_socket> &watched)
    {
        const bool read = watched->wanted == CURL_POLL_IN || watched->wanted == CURL_POLL_INOUT;
        const bool write = watched->wanted == CURL_POLL_OUT || watched->wanted == CURL_POLL_INOUT;
        if (read && !watched->waitingToRead) {
            watched->waitingToRead = true;
            watched->descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                                           asio::bind_executor(m_strand, [self = shared_from_this(), socket, watched](const asio::error_code &error) {
                                               watched->waitingToRead = false;
                                               self->onReady(socket, watched, CURL_CSELECT_IN, error);
                                           }));
        }
        if (write && !watched->waitingToWrite) {
            watched->waitingToWrite = true;
            watched->descriptor.async_wait(asio::posix::stream_descriptor::wait_write,
                                           asio::bind_executor(m_strand, [self = shared_from_this(), socket, watched](const asio::error_code &error) {
                                               watched->waitingToWrite = false;
                                               self->onReady(socket, watched, CURL_CSELECT_OUT, error);
                                           }));
        }
    }

    void onReady(curl_socket_t socket, const std::shared_ptr<watched_socket> &watched, int event, const asio::error_code &error)
    {
        const auto current = m_sockets.find(socket);
        const bool stale = error == asio::error::operation_aborted || current == m_sockets.end() || current->second != watched;
        if (stale || watched->wanted == CURL_POLL_NONE) {
            return;
        }
        const bool wanted = watched->wanted == CURL_POLL_INOUT || watched->wanted == (event == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT);
        if (wanted) {
            int running = 0;
            curl_multi_socket_action(m_multi, socket, error ? CURL_CSELECT_ERR : event, &running);
            finishDone();
        }
        const auto after = m_sockets.find(socket);
        if (after != m_sockets.end() && after->second == watched) {
            waitFor(socket, watched);
        }
    }

    // libcurl 7.88 closes a socket whose connection attempt failed without telling. The next socket often gets its number, and
    // would be watched through the registration of the closed one, which never reports anything.
    void forgetSocket(curl_socket_t socket)
    {
        const auto found = m_sockets.find(socket);
        if (found != m_sockets.end()) {
            found->second->descriptor.release();
            m_sockets.erase(found);
        }
    }

    void closeSocket(curl_socket_t socket)
    {
        const auto found = m_sockets.find(socket);
        if (found == m_sockets.end()) {
            ::close(socket);
            return;
        }
        asio::error_code ignored;
        found->second->descriptor.close(ignored);
        m_sockets.erase(found);
    }

    void setTimer(long timeoutMs)
    {
        if (timeoutMs < 0) {
            m_timer.cancel();
            return;
        }
        m_timer.expires_after(std::chrono::milliseconds(timeoutMs));
        m_timer.async_wait([weak = weak_from_this()](const asio::error_code &error) {
            const std::shared_ptr<client_worker> self = weak.lock();
            if (self && !error) {
                int running = 0;
                curl_multi_socket_action(self->m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
                self->finishDone();
            }
        });
    }

    void startWaiting()
    {
        std::deque<std::unique_ptr<transfer>> starting;
        {
            const std::lock_guard<std::mutex> guard(m_lock);
            starting.swap(m_waiting);
        }
        for (std::unique_ptr<transfer> &item : starting) {
            CURL *handle = takeHandle();
            prepare(handle, *item);
            m_active.emplace(handle, std::move(item));
            if (!m_abandoning) {
                curl_multi_add_handle(m_multi, handle);
            }
        }
    }

    CURL *takeHandle()
    {
        if (m_idleHandles.empty()) {
            return curl_easy_init();
        }
        CURL *handle = m_idleHandles.back();
        m_idleHandles.pop_back();
        return handle;
    }

    void prepare(CURL *handle, transfer &item)
    {
        curl_easy_reset(handle);
        for (const http_header &header : item.call.headers) {
            // libcurl drops a header without a value unless it ends in a semicolon.
            const std::string line = header.value.empty() ? header.name + ';' : header.name + ": " + header.value;
            item.headerList = curl_slist_append(item.headerList, line.c_str());
        }
        // Without this, libcurl waits up to one second for "100 Continue" before it sends a large body.
        item.headerList = curl_slist_append(item.headerList, "Expect:");
        curl_easy_setopt(handle, CURLOPT_URL, item.call.url.c_str());
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, item.headerList);
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, item.call.method.c_str());
        if (item.call.method == "HEAD") {
            curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
        } else if (item.call.method != "GET" && item.call.method != "DELETE") {
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(item.call.body.size()));
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, item.call.body.data());
        }
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, writeBody);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &item);
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, writeHeader);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, &item);
        curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, beforeSend);
        curl_easy_setopt(handle, CURLOPT_PREREQDATA, &item);
        curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
        curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(item.call.connectTimeout.count()));
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(item.call.totalTimeout.count()));
        curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, std::max(1L, static_cast<long>(m_options.maxIdle.count() / 1'000)));
        curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, &client_worker::onSocketOpened);
        curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, this);
        curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &client_worker::onSocketClosed);
        curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, this);
    }

    void finishDone()
    {
        int left = 0;
        while (CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg == CURLMSG_DONE) {
                complete(message->easy_handle, message->data.result);
            }
        }
    }

    void complete(CURL *handle, CURLcode code)
    {
        const auto found = m_active.find(handle);
        std::unique_ptr<transfer> item = std::move(found->second);
        m_active.erase(found);
        http_result result;
        long status = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        if (code == CURLE_OK) {
            result.state = send_state::Answered;
            result.response = std::move(item->response);
            result.response.status = static_cast<int>(status);
        } else {
            result.state = item->sends == 0 ? send_state::NotSent : send_state::Sent;
            result.reason = reasonOf(*item, code);
        }
        countBytes(handle);
        curl_multi_remove_handle(m_multi, handle);
        releaseHandle(handle);
        item->done(std::move(result));
    }

    void countBytes(CURL *handle)
    {
        long requestHeaders = 0;
        long answerHeaders = 0;
        curl_off_t upload = 0;
        curl_off_t download = 0;
        curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &requestHeaders);
        curl_easy_getinfo(handle, CURLINFO_HEADER_SIZE, &answerHeaders);
        curl_easy_getinfo(handle, CURLINFO_SIZE_UPLOAD_T, &upload);
        curl_easy_getinfo(handle, CURLINFO_SIZE_DOWNLOAD_T, &download);
        m_bytes.fetch_add(static_cast<std::uint64_t>(requestHeaders + answerHeaders + upload + download), std::memory_order_relaxed);
    }

    void releaseHandle(CURL *handle)
    {
        if (m_idleHandles.size() < keptHandles) {
            m_idleHandles.push_back(handle);
        } else {
            curl_easy_cleanup(handle);
        }
    }

    http_client_options m_options;
    asio::io_context &m_context;
    asio::strand<asio::io_context::executor_type> m_strand;
    asio::steady_timer m_timer;
    CURLM *m_multi;
    bool m_abandoning = false;
    std::atomic<std::uint64_t> m_bytes{0};
    std::mutex m_lock;
    std::deque<std::unique_ptr<transfer>> m_waiting;
    // Touched on the strand only.
    std::unordered_map<CURL *, std::unique_ptr<transfer>> m_active;
    std::unordered_map<curl_socket_t, std::shared_ptr<watched_socket>> m_sockets;
    std::vector<CURL *> m_idleHandles;
};

// A context with a thread of its own.
struct worker_thread
{
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(context);
    std::thread thread;
};

} // namespace

struct http_client::implementation
{
    std::vector<std::unique_ptr<worker_thread>> threads;
    std::vector<std::shared_ptr<client_worker>> workers;
    std::atomic<std::size_t> next{0};
};

http_client::http_client(http_client_options options)
    : m_implementation(std::make_unique<implementation>())
{
    initialiseLibrary();
    for (int i = 0; i < std::max(1, options.threads); ++i) {
        m_implementation->threads.push_back(std::make_unique<worker_thread>());
        worker_thread &own = *m_implementation->threads.back();
        m_implementation->workers.push_back(std::make_shared<client_worker>(options, own.context));
        own.thread = std::thread([&own] {
            own.context.run();
        });
    }
}

http_client::http_client(http_client_options options, asio::io_context &context)
    : m_implementation(std::make_unique<implementation>())
{
    initialiseLibrary();
    m_implementation->workers.push_back(std::make_shared<client_worker>(options, context));
}

http_client::~http_client()
{
    for (const std::unique_ptr<worker_thread> &own : m_implementation->threads) {
        own->context.stop();
        own->thread.join();
    }
    for (const std::shared_ptr<client_worker> &worker : m_implementation->workers) {
        worker->abandonAll();
    }
    // Handlers that still wait in the contexts refer to their workers and drop them with the contexts.
}

void http_client::send(http_call call, std::function<void(http_result)> done)
{
    std::unique_ptr<transfer> item = std::make_unique<transfer>();
    item->call = std::move(call);
    item->done = std::move(done);
    const std::size_t chosen = m_implementation->next.fetch_add(1, std::memory_order_relaxed) % m_implementation->workers.size();
    m_implementation->workers[chosen]->add(std::move(item));
}

std::chrono::microseconds http_client::processorTime() const
{
    std::chrono::microseconds sum{};
    for (const std::unique_ptr<worker_thread> &own : m_implementation->threads) {
        sum += threadProcessorTime(own->thread);
    }
    return sum;
}

std::uint64_t http_client::bytes() const
{
    std::uint64_t sum = 0;
    for (const std::shared_ptr<client_worker> &worker : m_implementation->workers) {
        sum += worker->bytes();
    }
    return sum;
}

http_result http_client::fetch(http_call call)
{
    std::promise<http_result> promise;
    std::future<http_result> future = promise.get_future();
    send(std::move(call), [&promise](http_result result) {
        promise.set_value(std::move(result));
    });
    return future.get();
}

} // namespace daisypass
