#pragma once

// Structured log lines, one JSON object each, on standard output.
//
//     startLog("daisypass-entry", "entry-1");
//     logEvent("target_ejected", {{"pool", "booking"}, {"vm", "vm-3"}, {"failures", 12}});
//
// Writing never blocks: a line is dropped and counted if standard output cannot accept it at once, such as a full pipe. Each event also
// has a rate limit in lines per second. Lines above it are dropped, and the event's next line reports their number in `lines_dropped`.

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace daisypass {

using log_value = std::variant<std::string, std::int64_t, double, bool>;

struct log_field
{
    log_field(std::string_view fieldName, std::string_view fieldValue)
        : name(fieldName)
        , value(std::string(fieldValue))
    {
    }
    log_field(std::string_view fieldName, const std::string &fieldValue)
        : name(fieldName)
        , value(fieldValue)
    {
    }
    log_field(std::string_view fieldName, const char *fieldValue)
        : name(fieldName)
        , value(std::string(fieldValue))
    {
    }
    log_field(std::string_view fieldName, bool fieldValue)
        : name(fieldName)
        , value(fieldValue)
    {
    }
    log_field(std::string_view fieldName, double fieldValue)
        : name(fieldName)
        , value(fieldValue)
    {
    }
    template<typename T>
    requires std::is_integral_v<T> log_field(std::string_view fieldName, T fieldValue)
        : name(fieldName)
        , value(static_cast<std::int64_t>(fieldValue))
    {
    }

    std::string name;
    log_value value;
};

/** Sets the program and instance that each line contains. Must be called once, before the first line. */
void startLog(std::string_view program, std::string_view instance);

/** Writes one line with the time, program, instance, event and fields. Thread-safe. */
void logEvent(std::string_view event, const std::vector<log_field> &fields);

/** Number of lines dropped so far, because of the rate limit or because the reader of the output did not keep up. */
std::uint64_t droppedLogLines();

/** Limits the lines of each event to a fixed number per clock second. Public so that it can be tested. */
class log_rate_limiter
{
public:
    explicit log_rate_limiter(int maxLinesPerSecond);

    /** Returns the number of lines dropped since the event's last admitted line, or -1 if this line must be dropped too. */
    std::int64_t admit(std::string_view event, std::int64_t nowMs);

private:
    struct event_window
    {
        std::string event;
        std::int64_t second = 0;
        int lines = 0;
        std::int64_t dropped = 0;
    };

    int m_maxLinesPerSecond;
    std::vector<event_window> m_windows;
};

} // namespace daisypass
