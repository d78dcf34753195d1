#pragma once

// The system's own rows in the platform's store: their tables, parts and keys.

#include "platform/store_client.h"

#include <string>
#include <string_view>

namespace daisypass::tables {

inline constexpr const char *jobs = "jobs";
inline constexpr const char *state = "state";
inline constexpr const char *queues = "queues";
inline constexpr const char *lease = "lease";
inline constexpr const char *nodes = "nodes";

/** The part of all rows that the lease's holder writes, so that one transaction can expect the term. */
inline constexpr const char *holderPart = "L";
/** Submissions are spread over this many parts, since a part takes a limited number of transactions a second. */
inline constexpr int jobParts = 16;
/** The row that numbers the holder's batches; like the scheduler's own rows it sorts behind all ids. */
inline constexpr const char *sequenceKey = "~sequence";
/** A row with this ending behind a job's id asks for its cancellation. */
inline constexpr std::string_view cancelSuffix = ".x";

inline std::string partOfJob(std::string_view id)
{
    const int digit = id.empty() ? 0 : static_cast<unsigned char>(id.back());
    return std::to_string(digit % jobParts);
}

inline row_key jobRow(const std::string &id)
{
    return {jobs, partOfJob(id), id};
}

inline row_key cancelRow(const std::string &id)
{
    return {jobs, partOfJob(id), id + std::string(cancelSuffix)};
}

inline row_key stateRow(const std::string &id)
{
    return {state, holderPart, id};
}

inline row_key holderRow()
{
    return {lease, holderPart, "holder"};
}

inline row_key nodeRow(const std::string &node)
{
    return {nodes, "", node};
}

inline row_key termRow()
{
    return {lease, holderPart, "term"};
}

} // namespace daisypass::tables
