#pragma once

// The record of a case: what was sent, answered and run, one line an event, with the milliseconds since the start.

#include <cstdint>
#include <cstdio>
#include <mutex>
#include <string>

namespace review {

using millis = std::int64_t;

millis steadyMs();
millis unixMs();
void sleepMs(millis duration);

class event_record
{
public:
    explicit event_record(const std::string &path);
    ~event_record();
    event_record(const event_record &) = delete;
    event_record &operator=(const event_record &) = delete;

    void add(const std::string &text);

private:
    std::mutex m_lock;
    std::FILE *m_file;
    millis m_startedAt;
};

} // namespace review
