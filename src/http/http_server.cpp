#include "http/http_server.h"

#include "base/thread_time.h"
#include "http/http_answers.h"
#include "http/metered_socket.h"

#include <restinio/all.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <mutex>
#include <shared_mutex>
#include <thread>
#include <unordered_map>

namespace daisypass {
namespace {

struct server_traits : public restinio::default_traits_t
{
    // RESTinio requires this name.
    static constexpr bool use_connection_count_limiter = true; // NOLINT(readability-identifier-naming)
    using stream_socket_t = metered_socket;
};

// Copies of a body while its request is handled: the handler's, a forwarded one, what is parsed from it, the stored row and its message.
constexpr std::size_t handlingCopies = 5;

using native_server = restinio::http_server_t<server_traits>;

http_request toRequest(const restinio::request_t &native)
{
    http_request request;
    request.method = native.header().method().c_str();
    request.path = std::string(native.header().path());
    for (const restinio::http_header_field_t &field : native.header()) {
        request.headers.push_back({field.name(), field.value()});
    }
    if (!native.header().query().empty()) {
        const restinio::query_string_params_t parameters = restinio::parse_query<restinio::parse_query_traits::javascript_compatible>(native.header().query());
        for (const restinio::query_string_params_t::parameters_container_t::value_type &parameter : parameters) {
            request.query.push_back({std::string(parameter.first), std::string(parameter.second)});
        }
    }
    request.body = native.body();
    return request;
}

bool isSetByServer(const http_header &header)
{
    return equalIgnoringCase(header.name, "Content-Length") || equalIgnoringCase(header.name, "Connection")
        || equalIgnoringCase(header.name, "Transfer-Encoding");
}

void sendTruncated(restinio::request_t &native, http_response response)
{
    restinio::response_builder_t<restinio::user_controlled_output_t> builder = native.create_response<restinio::user_controlled_output_t>(
        restinio::http_status_line_t{restinio::http_status_code_t{static_cast<std::uint16_t>(response.status)}, "-"});
    for (http_header &header : response.headers) {
        if (!isSetByServer(header)) {
            builder.append_header(std::move(header.name), std::move(header.value));
        }
    }
    builder.set_content_length(response.body.size() + 1);
    builder.set_body(response.body.substr(0, response.body.size() / 2));
    builder.connection_close();
    builder.done();
}

void closeWithoutResponse(restinio::request_t &native)
{
    // A response builder always writes a status line. An empty final part, passed directly to the connection, closes it without one.
    restinio::impl::access_req_connection(native)->write_response_parts(
        native.request_id(),
        restinio::response_output_flags_t{restinio::response_parts_attr_t::final_parts, restinio::response_connection_attr_t::connection_close},
        restinio::write_group_t{restinio::writable_items_container_t{}});
}

void sendWhole(restinio::request_t &native, http_response response)
{
    // RESTinio sets Content-Length and Connection itself.
    restinio::response_builder_t<restinio::restinio_controlled_output_t> builder
        = native.create_response(restinio::http_status_line_t{restinio::http_status_code_t{static_cast<std::uint16_t>(response.status)}, "-"});
    for (http_header &header : response.headers) {
        if (!isSetByServer(header)) {
            builder.append_header(std::move(header.name), std::move(header.value));
        }
    }
    builder.set_body(std::move(response.body));
    if (response.closeConnection) {
        builder.connection_close();
    }
    builder.done();
}

void sendResponse(restinio::request_t &native, http_response response)
{
    switch (response.delivery) {
    case answer_delivery::Whole:
        sendWhole(native, std::move(response));
        break;
    case answer_delivery::Truncated:
        sendTruncated(native, std::move(response));
        break;
    case answer_delivery::Closed:
        closeWithoutResponse(native);
        break;
    }
}

// An I/O context whose queued operations can be destroyed while the objects that they refer to still exist.
class server_context : public asio::io_context
{
public:
    void abandonOperations()
    {
        shutdown();
    }
};

// The charge of a request that is being handled, taken back with the object.
class admitted_bytes
{
public:
    admitted_bytes(std::shared_ptr<connection_account> account, std::size_t bytes)
        : m_account(std::move(account))
        , m_bytes(bytes)
    {
    }
    admitted_bytes(const admitted_bytes &) = delete;
    admitted_bytes &operator=(const admitted_bytes &) = delete;
    ~admitted_bytes()
    {
        m_account->release(m_bytes);
    }

private:
    std::shared_ptr<connection_account> m_account;
    std::size_t m_bytes;
};

struct pending_request
{
    restinio::request_handle_t native;
    std::unique_ptr<admitted_bytes> charge;
};

// Requests that have no response yet. A responder can outlive the server, but a RESTinio request must not: it refers to its
// connection, and the connection to the server. So a responder keeps only the request's number, and stopping the server drops the requests.
class pending_requests
{
public:
    std::uint64_t add(pending_request request)
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_requests.emplace(++m_lastNumber, std::move(request));
        return m_lastNumber;
    }

    void answer(std::uint64_t number, http_response response)
    {
        // Held while the response is passed to RESTinio, so that close() waits for it.
        const std::shared_lock<std::shared_mutex> sharedGuard(m_closeLock);
        pending_request request;
        {
            const std::lock_guard<std::mutex> guard(m_lock);
            const auto found = m_requests.find(number);
            if (found == m_requests.end()) {
                return;
            }
            request = std::move(found->second);
            m_requests.erase(found);
        }
        sendResponse(*request.native, std::move(response));
    }

    void close()
    {
        const std::unique_lock<std::shared_mutex> exclusiveGuard(m_closeLock);
        const std::lock_guard<std::mutex> guard(m_lock);
        m_requests.clear();
    }

private:
    std::shared_mutex m_closeLock;
    std::mutex m_lock;
    std::uint64_t m_lastNumber = 0;
    std::unordered_map<std::uint64_t, pending_request> m_requests;
};

} // namespace

bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

std::string_view findHeader(const std::vector<http_header> &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const http_header &header) {
        return equalIgnoringCase(header.name, name);
    });
    return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

std::int64_t findNumber(const std::vector<http_header> &headers, std::string_view name, std::int64_t fallback)
{
    const std::string_view text = findHeader(headers, name);
    std::int64_t number = fallback;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

struct http_server::implementation
{
    http_server_options options;
    http_handler handler;
    server_context ownContext;
    /** `ownContext`, or the context that was passed to the constructor. */
    asio::io_context *context = &ownContext;
    std::unique_ptr<native_server> server;
    std::shared_ptr<pending_requests> pending = std::make_shared<pending_requests>();
    std::vector<std::thread> threads;
    std::uint16_t port = 0;
    bool running = false;
    /** Null if the context has none. */
    std::shared_ptr<connection_account> account;

    restinio::request_handling_status_t handle(const restinio::request_handle_t &native)
    {
        pending_request request{native, nullptr};
        const std::size_t bytes = native->body().size() * handlingCopies;
        if (account && bytes > 0) {
            if (!account->admit(bytes, awakeMillis())) {
                sendResponse(*native, {statusUnavailable, {{"Retry-After", "1"}}, {}});
                return restinio::request_accepted();
            }
            request.charge = std::make_unique<admitted_bytes>(account, bytes);
        }
        http_responder respond = [pending = pending, number = pending->add(std::move(request))](http_response response) {
            pending->answer(number, std::move(response));
        };
        handler(toRequest(*native), std::move(respond));
        return restinio::request_accepted();
    }
};

http_server::http_server(http_server_options options, http_handler handler)
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->options = std::move(options);
    m_implementation->handler = std::move(handler);
}

http_server::http_server(http_server_options options, http_handler handler, asio::io_context &context)
    : http_server(std::move(options), std::move(handler))
{
    m_implementation->context = &context;
}

http_server::~http_server()
{
    stop();
}

bool http_server::start(failure &reason)
{
    implementation &self = *m_implementation;
    const http_server_options &options = self.options;
    restinio::server_settings_t<server_traits> settings;
    settings.address(options.listen.address)
        .port(options.listen.port)
        .protocol(options.listen.address.find(':') == std::string::npos ? asio::ip::tcp::v4() : asio::ip::tcp::v6())
        .read_next_http_message_timelimit(options.readTimeout)
        .write_http_response_timelimit(options.readTimeout)
        .handle_request_timeout(options.handleTimeout)
        .max_parallel_connections(static_cast<std::size_t>(options.maxConnections))
        .concurrent_accepts_count(8)
        .separate_accept_and_create_connect(true)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_url_size(4'096)
                                      .max_field_name_size(256)
                                      .max_field_value_size(options.maxHeaderBytes)
                                      .max_field_count(100)
                                      .max_body_size(options.maxBodyBytes))
        .acceptor_options_setter([](restinio::acceptor_options_t &acceptor) {
            acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        })
        .socket_options_setter([](restinio::socket_options_t &socket) {
            socket.set_option(asio::ip::tcp::no_delay(true));
        })
        .acceptor_post_bind_hook([&self](asio::ip::tcp::acceptor &acceptor) {
            self.port = acceptor.local_endpoint().port();
        })
        .request_handler([&self](const restinio::request_handle_t &native) {
            return self.handle(native);
        });
    self.account = accountOf(*self.context);
    try {
        self.server = std::make_unique<native_server>(restinio::external_io_context(*self.context), std::move(settings));
        self.server->open_sync();
    } catch (const std::exception &error) {
        reason = failure{failure_code::ListenFailed, toString(options.listen) + ' ' + error.what(), {}, "a free local address"};
        self.server.reset();
        return false;
    }
    self.running = true;
    if (self.context != &self.ownContext) {
        return true;
    }
    for (int i = 0; i < std::max(1, options.threads); ++i) {
        self.threads.emplace_back([&self] {
            self.ownContext.run();
        });
    }
    return true;
}

void http_server::stop()
{
    implementation &self = *m_implementation;
    if (!self.running) {
        return;
    }
    self.running = false;
    self.server->close_async(
        [] {
        },
        [](const std::exception_ptr &) {
        });
    if (self.context != &self.ownContext) {
        self.pending->close();
        return;
    }
    // Connections close once their responses are written. A fixed grace period keeps a stuck client from delaying stop().
    constexpr std::chrono::milliseconds grace{200};
    std::this_thread::sleep_for(grace);
    self.ownContext.stop();
    for (std::thread &thread : self.threads) {
        thread.join();
    }
    self.threads.clear();
    self.pending->close();
    self.ownContext.abandonOperations();
    self.server.reset();
}

std::chrono::microseconds http_server::processorTime() const
{
    std::chrono::microseconds sum{};
    for (std::thread &thread : m_implementation->threads) {
        sum += threadProcessorTime(thread);
    }
    return sum;
}

std::uint16_t http_server::port() const
{
    return m_implementation->port;
}

} // namespace daisypass
