#pragma once

// One call of the HTTP client as libcurl carries it out: its request, the answer read so far, and why it ended.

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
    /** Requests that libcurl has begun to send for this call. */
    int sends = 0;
    /** libcurl was stopped from sending the request again. */
    bool resent = false;
    /** The answer lacks the header that the call asks for. */
    bool foreign = false;

    http_transfer() = default;
    ~http_transfer();
    http_transfer(const http_transfer &) = delete;
    http_transfer &operator=(const http_transfer &) = delete;
};

/** Sets the handle up for the transfer's call; the transfer must stay where it is until the call has ended. */
void setUpRequest(CURL *handle, http_transfer &item);

/** The result of a transfer that ended with `code`; takes the answer out of it. */
http_result resultOf(CURL *handle, http_transfer &item, CURLcode code);

/** Bytes of the request and the answer, without those of TCP and IP. */
std::uint64_t bytesOf(CURL *handle);

} // namespace daisypass
