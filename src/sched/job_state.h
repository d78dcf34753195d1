#pragma once

// A job's state as rows for the store.
//
//     std::string row = writeState(job);
//     readState(row, job);                       // after a takeover
//
// The state of a job with many tasks is divided into rows (job_rows.h).
//
// For each task that may have a run on an executor, the row has the run's number and the executor, so that a new lease holder knows
// where a run may be. The row is stored before the run's start order is sent.

#include "sched/job_record.h"

#include <cstddef>
#include <limits>
#include <map>
#include <string>
#include <string_view>

namespace daisypass::sched {

/** Largest number of tasks in one row of a divided state. */
inline constexpr std::size_t maxTasksPerRow = 64;

/** The job's state as a row for the store. */
std::string writeState(const job_record &job);
/** The first row of a divided state: it has no tasks. */
std::string writeFirstRow(const job_record &job);
/**
 * A row with some tasks of the occurrence, which are counted through all its steps; empty if none of them needs an entry. Checkpoints that take
 * more bytes than given are left out.
 */
std::string
writeTasks(const job_record &job, int occurrence, std::size_t first, std::size_t end, std::size_t maxCheckpointBytes = std::numeric_limits<std::size_t>::max());
/** The name of the job phase in a row, as callers get it; empty if the row can't be parsed. */
std::string phaseIn(std::string_view row);
/** Whether the row is the first one of a divided state. */
bool isDivided(std::string_view row);
/** Restores the job from its row; false if the row can't be parsed. The job is unchanged if the row has no valid phase. */
bool readState(std::string_view row, job_record &job);
/** The same for a job with further rows, by their keys, that have tasks. The first row may be empty: it is stored after them. */
bool readState(std::string_view row, const std::map<std::string, std::string> &taskRows, job_record &job);

} // namespace daisypass::sched
