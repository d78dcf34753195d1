#pragma once

// The rows that hold a job's state: one, or many if one would be long.
//
//     job_rows rows;
//     row_changes changes;
//     const rows_taken taken = rows.takeChanges(job, batchNumber, maxRowBytes, room, changes);
//     ... store the changes; after rows_taken::Part, take the others for the next transaction ...
//
// The state of a job with few tasks is in one row, whose key is the job's id. Once that row would be long, the state is divided: the first
// row has the job's phase, and each further one up to maxTasksPerRow consecutive tasks, so that a change of a task writes a short row and no
// row is above the store's limit. A divided state stays divided.

#include "sched/job_state.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisypass::sched {

/** The id of the job to which a state row belongs. */
std::string_view jobOfRow(std::string_view key);

/** Rows to store and keys to delete in one transaction. */
struct row_changes
{
    std::vector<std::pair<std::string, std::string>> rows;
    std::vector<std::string> deletedKeys;
    std::size_t bytes = 0;

    std::size_t entries() const
    {
        return rows.size() + deletedKeys.size();
    }
};

/** Limits of a transaction, which its last addition may exceed. */
struct row_room
{
    std::size_t entries = 0;
    std::size_t bytes = 0;
};

enum class rows_taken {
    All,
    /** The room is used up; the other changes must be taken for a later transaction. */
    Part,
    /** A task's part of the state is above the limit even without its checkpoint, so it can't be stored. */
    TooLong,
};

class job_rows
{
public:
    /** Adds what has changed since the last call. Placements that the rows have by then get this number of a batch, unless they have one. */
    rows_taken takeChanges(job_record &job, std::int64_t batch, std::size_t maxRowBytes, const row_room &room, row_changes &changes);
    /** Gives up storing the job's tasks: only its first row, with its phase, is taken from now on. */
    void setAside()
    {
        m_setAside = true;
        m_firstRow.clear();
    }
    bool isSetAside() const
    {
        return m_setAside;
    }
    /** Whether some checkpoints were too long to be stored. After a takeover their tasks start from the beginning. */
    bool leavesCheckpointsOut() const
    {
        return m_leavesCheckpointsOut;
    }
    /** Whether the rows of this job have a history, so that the object must be kept. */
    bool isInUse() const
    {
        return m_divided || m_setAside;
    }
    /** Adopts the rows that are in the store: the first one, which may be empty, and those with tasks. */
    void restore(std::string_view row, const std::map<std::string, std::string> &taskRows);
    /** The keys of all rows that the job may have in the store. */
    std::vector<std::string> keys(const std::string &job) const;

private:
    /** Consecutive tasks of an occurrence that are stored in one transaction: its number and the first task's. */
    using task_group = std::pair<int, std::size_t>;
    using keyed_rows = std::map<std::string, std::string>;

    struct group_rows
    {
        keyed_rows rows;
        /** A task's entry, or all rows together, are above the limit. */
        bool tooLong = false;
    };

    /** Limits of the rows of one group, in bytes. */
    struct group_limits
    {
        std::size_t rowBytes = 0;
        std::size_t checkpointBytes = 0;
    };

    /** The rows of these tasks, without long checkpoints if they would be too long with them. */
    group_rows rowsOf(const job_record &job, int occurrence, std::size_t first, std::size_t end, std::size_t maxRowBytes);
    static void addRows(const job_record &job, int occurrence, std::size_t first, std::size_t end, const group_limits &limits, group_rows &group);
    rows_taken takeFirstRow(const job_record &job, const row_room &room, row_changes &changes);
    /** Takes the changes of one group; the group's tasks are counted through all steps of the occurrence. */
    rows_taken takeGroup(occurrence_record &occurrence,
                         std::size_t first,
                         const job_record &job,
                         std::int64_t batch,
                         std::size_t maxRowBytes,
                         const row_room &room,
                         row_changes &changes);
    rows_taken takeGroups(job_record &job, std::int64_t batch, std::size_t maxRowBytes, const row_room &room, row_changes &changes);
    rows_taken takeDropped(const job_record &job, const row_room &room, row_changes &changes);
    static void replace(const keyed_rows &before, const keyed_rows &after, row_changes &changes);

    bool m_divided = false;
    bool m_setAside = false;
    bool m_leavesCheckpointsOut = false;
    /** The first row of the divided state as last taken; empty before that. */
    std::string m_firstRow;
    std::map<task_group, keyed_rows> m_groups;
    /** The group with which the next transaction begins. Each gets its turn even if the first ones change all the time. */
    task_group m_nextGroup;
};

} // namespace daisypass::sched
