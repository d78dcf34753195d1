#pragma once

// Structured log lines, one JSON object each, on standard output.
//
//     startLog("daisypass-entry", "entry-1");
//     logChange("target_ejected", {{"pool", "booking"}, {"vm", "vm-3"}, {"failures", 12}});
//
// Writing never blocks: lines that the reader of a full pipe doesn't take are dropped and counted. Each event has a budget of
// lines a second; what exceeds it is dropped, and the event's next line says how many in `lines_dropped`.

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

/** Sets the program and instance that each line names. Call once, before the first line. */
void startLog(std::string_view program, std::string_view instance);

/** Writes one line: time, program, instance, event and the fields. Safe from any thread. */
void logChange(std::string_view event, const std::vector<log_field> &fields);

/** Lines dropped so far, for want of budget or because the reader did not keep up. */
std::uint64_t droppedLogLines();

/** Decides whether an event's line fits its budget; one second of `now` shares one budget. Exposed for tests. */
class log_budget
{
public:
    explicit log_budget(int linesPerSecond);

    /** The number of lines dropped since the event's last admitted line, or -1 if this one is dropped too. */
    std::int64_t admit(std::string_view event, std::int64_t nowMs);

private:
    struct usage
    {
        std::string event;
        std::int64_t second = 0;
        int lines = 0;
        std::int64_t dropped = 0;
    };

    int m_linesPerSecond;
    std::vector<usage> m_usages;
};

} // namespace daisypass
