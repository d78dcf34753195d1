#pragma once

// Counts of waiting jobs, which the lease holder stores for all nodes in one row.
//
//     std::string row = writeQueueCounts(counts);
//     const std::variant<std::int64_t, count_error> waiting = countAt(readQueueCounts(row), queue, storeMs);

#include "sched/model.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace daisypass {

struct queue_counts
{
    /** On the store's clock, in ms: the counts include every job that was stored before this time and has not begun. */
    std::int64_t completeUntil = 0;
    /** Queues without waiting jobs are left out. */
    std::map<sched::queue_key, std::int64_t> waiting;
};

/** Why a count can't be given. */
enum class count_error {
    /** No lease holder has stored counts, or the row can't be parsed. */
    NoCounts,
    /** Jobs may have been accepted since that the counts don't include. */
    TooOld,
};

std::string_view nameOf(count_error error);

std::string writeQueueCounts(const queue_counts &counts);
/** Returns nothing if the row can't be parsed. */
std::optional<queue_counts> readQueueCounts(std::string_view row);

/** The queue's count, if it can be given at the time `storeMs` on the store's clock. */
std::variant<std::int64_t, count_error> countAt(const std::optional<queue_counts> &counts, const sched::queue_key &queue, std::int64_t storeMs);

} // namespace daisypass
