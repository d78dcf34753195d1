#pragma once

// Counts of waiting jobs, which the lease holder stores for all nodes: in one row, or in several if one would be above the store's limit.
//
//     std::vector<std::string> rows = writeQueueCounts(counts, maxRowBytes);
//     const std::variant<std::int64_t, count_error> waiting = countAt(readQueueCounts(rows), queue, storeMs);

#include "sched/model.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

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

/** The rows, in order. With more than one, the first has no counts itself but the number of the others. */
std::vector<std::string> writeQueueCounts(const queue_counts &counts, std::size_t maxRowBytes);
/** Returns nothing if a row is missing or can't be parsed. Rows beyond those that the first one names are left over and ignored. */
std::optional<queue_counts> readQueueCounts(std::span<const std::string> rows);

/** The queue's count, if it can be given at the time `storeMs` on the store's clock. */
std::variant<std::int64_t, count_error> countAt(const std::optional<queue_counts> &counts, const sched::queue_key &queue, std::int64_t storeMs);

} // namespace daisypass
