#pragma once

// One call of the HTTP client as libcurl carries it out: its request, the response received so far, and why it failed.

#include "http/http_client.h"

#include <curl/curl.h>

#include <functional>

namespace daisypass {

struct http_transfer
{
    http_call call;
    std::function<void(http_result)> done;
    http_response response;
    curl_slist *headerList = nullptr;
    /** How many times libcurl has started to send the request of this call. */
    int sendCount = 0;
    /** Whether libcurl tried to send the request again and was stopped. */
    bool resendPrevented = false;
    /** Whether the response lacks `http_call::requiredHeader` or has another value for it. */
    bool requiredHeaderMismatch = false;

    http_transfer() = default;
    ~http_transfer();
    http_transfer(const http_transfer &) = delete;
    http_transfer &operator=(const http_transfer &) = delete;
};

/** Configures the handle for the transfer's call. The transfer must not be moved or destroyed until the call has ended. */
void setUpRequest(CURL *handle, http_transfer &transfer);

/** Returns the result of a transfer that ended with `code`, and moves the response out of the transfer. */
http_result resultOf(CURL *handle, http_transfer &transfer, CURLcode code);

/** Bytes of the request and the response, without TCP and IP headers. */
std::uint64_t bytesOf(CURL *handle);

} // namespace daisypass
