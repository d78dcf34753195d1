#pragma once

// Stand-in of the platform's store: tables of rows, transactions, reads and the feed of changes.

#include "http.h"
#include "record.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <tuple>
#include <vector>

namespace review {

using json = nlohmann::json;

class store
{
public:
    /** Table, part and key. */
    using row_key = std::tuple<std::string, std::string, std::string>;

    void put(const row_key &key, const json &value);
    void remove(const row_key &key);
    http_response handle(const http_request &request);
    /** While it is down, the store refuses all calls with 503. */
    void setDown(bool down);

private:
    struct row
    {
        /** Base64. */
        std::string value;
        std::int64_t version = 0;
        bool deleted = false;
    };

    http_response transact(const json &body);
    http_response get(const http_request &request);
    http_response feed(const http_request &request);
    static json describe(const row_key &key, const row &stored);
    static row_key keyOf(const json &item);
    http_response answer(json body) const;

    std::mutex m_lock;
    std::condition_variable m_changed;
    std::int64_t m_version = 0;
    std::map<row_key, row> m_rows;
    bool m_down = false;
};

std::string encodeBase64(const std::string &text);

} // namespace review
