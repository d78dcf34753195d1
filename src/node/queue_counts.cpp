#include "node/queue_counts.h"

#include <nlohmann/json.hpp>

namespace daisypass {
namespace {

using json = nlohmann::json;

// A count must include the jobs that were accepted five seconds before the answer. A second of that is left for the way of the answer.
constexpr std::int64_t maxAgeMs = 4'000;

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

std::string writeQueueCounts(const queue_counts &counts)
{
    json waiting = json::array();
    for (const std::pair<const sched::queue_key, std::int64_t> &queue : counts.waiting) {
        if (queue.second > 0) {
            waiting.push_back(json::array({queue.first.host, queue.first.prefix, queue.second}));
        }
    }
    return json{{"complete_until", counts.completeUntil}, {"waiting", std::move(waiting)}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<queue_counts> readQueueCounts(std::string_view row)
{
    const json value = json::parse(row, nullptr, false);
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
