#include "node/queue_counts.h"

#include "base/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace daisypass {
namespace {

using json = nlohmann::json;

// A count must include the jobs that were accepted five seconds before the answer. A second of that is left for the way of the answer.
constexpr std::int64_t maxAgeMs = 4'000;

constexpr char rowEnd[] = "]}";

// A row to which entries are appended; its list and object aren't closed yet.
std::string beginRow(std::int64_t completeUntil)
{
    return "{\"complete_until\":" + std::to_string(completeUntil) + ",\"waiting\":[";
}

std::string entryOf(const sched::queue_key &queue, std::int64_t waiting)
{
    std::string entry = "[";
    appendJsonString(entry, queue.host);
    entry += ',';
    appendJsonString(entry, queue.prefix);
    return entry + ',' + std::to_string(waiting) + ']';
}

std::optional<queue_counts> readRow(const json &value)
{
    const bool valid = value.is_object() && value.contains("complete_until") && value["complete_until"].is_number_integer() && value.contains("waiting")
        && value["waiting"].is_array();
    if (!valid) {
        return std::nullopt;
    }
    queue_counts counts;
    counts.completeUntil = value["complete_until"].get<std::int64_t>();
    for (const json &item : value["waiting"]) {
        const bool readable = item.is_array() && item.size() == 3 && item[0].is_string() && item[1].is_string() && item[2].is_number_integer();
        if (!readable) {
            return std::nullopt;
        }
        counts.waiting[{item[0].get<std::string>(), item[1].get<std::string>()}] = item[2].get<std::int64_t>();
    }
    return counts;
}

} // namespace

std::string_view nameOf(count_error error)
{
    switch (error) {
    case count_error::NoCounts:
        return "no_counts";
    case count_error::TooOld:
        return "too_old";
    }
    return "unknown";
}

std::vector<std::string> writeQueueCounts(const queue_counts &counts, std::size_t maxRowBytes)
{
    std::vector<std::string> rows{beginRow(counts.completeUntil)};
    for (const std::pair<const sched::queue_key, std::int64_t> &queue : counts.waiting) {
        if (queue.second <= 0) {
            continue;
        }
        const std::string entry = entryOf(queue.first, queue.second);
        if (rows.back().size() + entry.size() + sizeof(rowEnd) > maxRowBytes) {
            rows.push_back(beginRow(counts.completeUntil));
        }
        appendSeparator(rows.back());
        rows.back() += entry;
    }
    for (std::string &row : rows) {
        row += rowEnd;
    }
    if (rows.size() > 1) {
        // A version that reads one row only must not take its counts for all.
        rows.insert(rows.begin(), json{{"complete_until", counts.completeUntil}, {"rows", rows.size()}}.dump());
    }
    return rows;
}

std::optional<queue_counts> readQueueCounts(std::span<const std::string> rows)
{
    if (rows.empty()) {
        return std::nullopt;
    }
    const json first = json::parse(rows.front(), nullptr, false);
    const bool several = first.is_object() && first.contains("rows") && first["rows"].is_number_unsigned();
    if (!several) {
        return readRow(first);
    }
    const std::size_t count = first["rows"].get<std::size_t>();
    queue_counts all{std::numeric_limits<std::int64_t>::max(), {}};
    for (std::size_t number = 1; number <= count; ++number) {
        std::optional<queue_counts> part = number < rows.size() ? readRow(json::parse(rows[number], nullptr, false)) : std::nullopt;
        if (!part) {
            return std::nullopt;
        }
        all.completeUntil = std::min(all.completeUntil, part->completeUntil);
        all.waiting.merge(part->waiting);
    }
    return all;
}

std::variant<std::int64_t, count_error> countAt(const std::optional<queue_counts> &counts, const sched::queue_key &queue, std::int64_t storeMs)
{
    if (!counts) {
        return count_error::NoCounts;
    }
    if (storeMs - counts->completeUntil > maxAgeMs) {
        return count_error::TooOld;
    }
    const auto found = counts->waiting.find(queue);
    return found == counts->waiting.end() ? 0 : found->second;
}

} // namespace daisypass
