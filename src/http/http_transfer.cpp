#include "http/http_transfer.h"

#include <charconv>
#include <optional>
#include <string_view>

namespace daisypass {
namespace {

std::string_view trimmed(std::string_view text)
{
    const char *whitespace = " \t\r\n";
    const std::size_t first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

// Parses the status code of a status line such as "HTTP/1.1 200 OK". Returns 0 if there is none.
int parseStatus(std::string_view line)
{
    int status = 0;
    const std::size_t space = line.find(' ');
    if (space != std::string_view::npos) {
        std::from_chars(line.data() + space + 1, line.data() + line.size(), status);
    }
    return status;
}

std::size_t writeBody(char *data, std::size_t size, std::size_t count, void *user)
{
    static_cast<http_transfer *>(user)->response.body.append(data, size * count);
    return size * count;
}

bool isInformational(const http_transfer &transfer)
{
    constexpr int minFinalStatus = 200;
    return transfer.response.status < minFinalStatus;
}

bool hasRequiredHeader(const http_transfer &transfer)
{
    const std::optional<http_header> &requiredHeader = transfer.call.requiredHeader;
    return !requiredHeader || isInformational(transfer) || findHeader(transfer.response.headers, requiredHeader->name) == requiredHeader->value;
}

std::size_t writeHeader(char *data, std::size_t size, std::size_t count, void *user)
{
    http_transfer &transfer = *static_cast<http_transfer *>(user);
    const std::string_view line(data, size * count);
    const std::size_t colon = line.find(':');
    if (line.starts_with("HTTP/")) {
        // The headers received before this status line belong to a 1xx response, not to the final one.
        transfer.response.headers.clear();
        transfer.response.status = parseStatus(line);
    } else if (colon != std::string_view::npos) {
        transfer.response.headers.push_back({std::string(trimmed(line.substr(0, colon))), std::string(trimmed(line.substr(colon + 1)))});
    } else if (trimmed(line).empty() && !hasRequiredHeader(transfer)) {
        // Failing the transfer here makes libcurl close the connection, on which further responses may belong to other requests too.
        transfer.requiredHeaderMismatch = true;
        return CURL_WRITEFUNC_ERROR;
    }
    return size * count;
}

// libcurl calls this just before it sends a request, and again before it resends one because the reused connection closed
// early. The server may already have run the request, so the resend is aborted.
int beforeSend(void *user, char *, char *, int, int)
{
    http_transfer &transfer = *static_cast<http_transfer *>(user);
    if (++transfer.sendCount > 1) {
        transfer.resendPrevented = true;
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

failure failureOf(const http_transfer &transfer, CURLcode code)
{
    if (transfer.resendPrevented) {
        return failure{failure_code::BadAnswer, "connection closed before the answer"};
    }
    if (transfer.requiredHeaderMismatch) {
        return failure{failure_code::BadAnswer, "answer without the header that the call asks for", {}, transfer.call.requiredHeader->name};
    }
    return failure{codeOf(code), curl_easy_strerror(code)};
}

void addHeaders(http_transfer &transfer)
{
    for (const http_header &header : transfer.call.headers) {
        // libcurl drops a header without a value unless it ends in a semicolon.
        const std::string line = header.value.empty() ? header.name + ';' : header.name + ": " + header.value;
        transfer.headerList = curl_slist_append(transfer.headerList, line.c_str());
    }
    // Without this, libcurl waits up to one second for "100 Continue" before it sends a large body.
    transfer.headerList = curl_slist_append(transfer.headerList, "Expect:");
}

} // namespace

http_transfer::~http_transfer()
{
    curl_slist_free_all(headerList);
}

void setUpRequest(CURL *handle, http_transfer &transfer)
{
    addHeaders(transfer);
    curl_easy_setopt(handle, CURLOPT_URL, transfer.call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer.headerList);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, transfer.call.method.c_str());
    if (transfer.call.method == "HEAD") {
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    } else if (transfer.call.method != "GET" && transfer.call.method != "DELETE") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(transfer.call.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, transfer.call.body.data());
    }
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, writeBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, writeHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, beforeSend);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(transfer.call.connectTimeout.count()));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(transfer.call.totalTimeout.count()));
}

http_result resultOf(CURL *handle, http_transfer &transfer, CURLcode code)
{
    http_result result;
    if (code == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        result.state = send_state::Answered;
        result.response = std::move(transfer.response);
        result.response.status = static_cast<int>(status);
    } else {
        result.state = transfer.sendCount == 0 ? send_state::NotSent : send_state::Sent;
        result.reason = failureOf(transfer, code);
    }
    return result;
}

std::uint64_t bytesOf(CURL *handle)
{
    long requestHeaders = 0;
    long responseHeaders = 0;
    curl_off_t upload = 0;
    curl_off_t download = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &requestHeaders);
    curl_easy_getinfo(handle, CURLINFO_HEADER_SIZE, &responseHeaders);
    curl_easy_getinfo(handle, CURLINFO_SIZE_UPLOAD_T, &upload);
    curl_easy_getinfo(handle, CURLINFO_SIZE_DOWNLOAD_T, &download);
    return static_cast<std::uint64_t>(requestHeaders + responseHeaders + upload + download);
}

} // namespace daisypass
