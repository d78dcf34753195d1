#pragma once

// Tables, parts (the store's partitions) and keys of the system's own rows in the platform's store.

#include "platform/store_client.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace daisypass::tables {

inline constexpr const char *jobs = "jobs";
inline constexpr const char *state = "state";
inline constexpr const char *queues = "queues";
inline constexpr const char *lease = "lease";
inline constexpr const char *nodes = "nodes";

/** The part of all rows that the lease holder writes. They share one, so that a transaction can have the term row as a precondition. */
inline constexpr const char *holderPart = "L";
/** Number of parts over which submissions are spread, because the store limits the transactions per second of each part. */
inline constexpr int jobParts = 16;
/** The row with the sequence number of the holder's latest batch. Like the scheduler's own rows it sorts after all job ids. */
inline constexpr const char *sequenceKey = "~sequence";
/** The first row with the counts of waiting jobs; the keys of further ones have a slash and their number behind it. */
inline constexpr const char *countsKey = "~waiting";
/** A row whose key is a job's id with this suffix requests the job's cancellation. */
inline constexpr std::string_view cancelSuffix = ".x";

/**
 * The value of a job's row after its cancelling was answered with 410 before the job was known. A submission that is still under way finds the row
 * and isn't stored.
 */
inline constexpr std::string_view barredSubmission = R"({"barred":true})";

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

inline row_key countsRow(std::size_t number = 0)
{
    return {queues, holderPart, number == 0 ? std::string(countsKey) : countsKey + ('/' + std::to_string(number))};
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
