#pragma once

// Structured log lines, one JSON object each, on standard error.
//
//     startLog("daisypass-entry", "entry-1");
//     logChange("target_ejected", {{"pool", "booking"}, {"vm", "vm-3"}, {"failures", 12}});
//
// Lines are written for changes of state only; what happens per request is counted in metrics.

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

} // namespace daisypass
