#include "sched/late_starts.h"

#include "base/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace daisypass::sched {
namespace {

using json = nlohmann::json;

// [task, run, executor, remaining time]
constexpr std::size_t startFields = 4;

std::optional<late_start> readStart(const json &value)
{
    const bool readable = value.is_array() && value.size() == startFields && value[0].is_string() && value[1].is_number_integer() && value[2].is_string()
        && value[3].is_number_integer();
    const std::optional<task_id> task = readable ? task_id::parse(value[0].get_ref<const std::string &>()) : std::nullopt;
    if (!task) {
        return std::nullopt;
    }
    return late_start{{*task, value[1].get<int>()}, value[2].get<std::string>(), std::clamp<time_ms>(value[3].get<time_ms>(), 0, maxOrderDelayMs)};
}

} // namespace

std::vector<late_start> readLateStarts(std::string_view row)
{
    std::vector<late_start> starts;
    const json value = json::parse(row, nullptr, false);
    if (!value.is_array()) {
        return starts;
    }
    for (const json &item : value) {
        if (std::optional<late_start> start = readStart(item)) {
            starts.push_back(std::move(*start));
        }
    }
    return starts;
}

void late_starts::add(const run_id &run, const std::string &executor, time_ms sentAt)
{
    m_starts[run] = {executor, sentAt + maxOrderDelayMs};
}

bool late_starts::carriedOut(const run_id &run)
{
    return m_starts.erase(run) > 0;
}

std::optional<time_ms> late_starts::mayComeUntil(const task_id &task, int exceptRun) const
{
    std::optional<time_ms> latest;
    const auto end = m_starts.upper_bound({task, std::numeric_limits<int>::max()});
    for (auto start = m_starts.lower_bound({task, 0}); start != end; ++start) {
        if (start->first.second != exceptRun) {
            latest = std::max(latest.value_or(start->second.until), start->second.until);
        }
    }
    return latest;
}

void late_starts::expire(time_ms now)
{
    std::erase_if(m_starts, [now](const std::pair<const run_id, pending_start> &start) {
        return start.second.until < now;
    });
}

std::string late_starts::writeRow(const std::set<task_id> &tasks, time_ms now) const
{
    std::string row = "[";
    for (const std::pair<const run_id, pending_start> &start : m_starts) {
        if (!tasks.contains(start.first.first)) {
            continue;
        }
        appendSeparator(row);
        row += '[';
        appendJsonString(row, start.first.first.text());
        row += ',' + std::to_string(start.first.second) + ',';
        appendJsonString(row, start.second.executor);
        row += ',' + std::to_string(start.second.until - now) + ']';
    }
    return row + ']';
}

} // namespace daisypass::sched
