#include "http/http_transfer.h"

#include <charconv>
#include <optional>
#include <string_view>

namespace daisypass {
namespace {

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
    static_cast<http_transfer *>(user)->response.body.append(data, size * count);
    return size * count;
}

bool isInterim(const http_transfer &current)
{
    constexpr int leastFinalStatus = 200;
    return current.response.status < leastFinalStatus;
}

bool echoMatches(const http_transfer &current)
{
    const std::optional<http_header> &echo = current.call.echo;
    return !echo || isInterim(current) || findHeader(current.response.headers, echo->name) == echo->value;
}

std::size_t writeHeader(char *data, std::size_t size, std::size_t count, void *user)
{
    http_transfer &current = *static_cast<http_transfer *>(user);
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
    http_transfer &current = *static_cast<http_transfer *>(user);
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

failure reasonOf(const http_transfer &item, CURLcode code)
{
    if (item.resent) {
        return failure{failure_code::BadAnswer, "connection closed before the answer"};
    }
    if (item.foreign) {
        return failure{failure_code::BadAnswer, "answer without the header that the call asks for", {}, item.call.echo->name};
    }
    return failure{codeOf(code), curl_easy_strerror(code)};
}

void addHeaders(http_transfer &item)
{
    for (const http_header &header : item.call.headers) {
        // libcurl drops a header without a value unless it ends in a semicolon.
        const std::string line = header.value.empty() ? header.name + ';' : header.name + ": " + header.value;
        item.headerList = curl_slist_append(item.headerList, line.c_str());
    }
    // Without this, libcurl waits up to one second for "100 Continue" before it sends a large body.
    item.headerList = curl_slist_append(item.headerList, "Expect:");
}

} // namespace

http_transfer::~http_transfer()
{
    curl_slist_free_all(headerList);
}

void setUpRequest(CURL *handle, http_transfer &item)
{
    addHeaders(item);
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
}

http_result resultOf(CURL *handle, http_transfer &item, CURLcode code)
{
    http_result result;
    if (code == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        result.state = send_state::Answered;
        result.response = std::move(item.response);
        result.response.status = static_cast<int>(status);
    } else {
        result.state = item.sends == 0 ? send_state::NotSent : send_state::Sent;
        result.reason = reasonOf(item, code);
    }
    return result;
}

std::uint64_t bytesOf(CURL *handle)
{
    long requestHeaders = 0;
    long answerHeaders = 0;
    curl_off_t upload = 0;
    curl_off_t download = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &requestHeaders);
    curl_easy_getinfo(handle, CURLINFO_HEADER_SIZE, &answerHeaders);
    curl_easy_getinfo(handle, CURLINFO_SIZE_UPLOAD_T, &upload);
    curl_easy_getinfo(handle, CURLINFO_SIZE_DOWNLOAD_T, &download);
    return static_cast<std::uint64_t>(requestHeaders + answerHeaders + upload + download);
}

} // namespace daisypass
