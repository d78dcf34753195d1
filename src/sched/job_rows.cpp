#include "sched/job_rows.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace daisypass::sched {
namespace {

// The key of a row with tasks is "job/occurrence.task", with the number of its first task. It doesn't begin with the job's id and '!', which
// ends the range in which callers' nodes look for the first row.
constexpr char taskRowMark = '/';
// A state in a longer row is divided. Each change of a task writes this many bytes at most.
constexpr std::size_t maxSingleRowBytes = 16'384;
// A group is stored in one transaction, which must keep below the store's limit of 1 MB after base64 encoding.
constexpr std::size_t maxGroupBytes = 300'000;
// A checkpoint of this length always fits into its group, whatever the others have.
constexpr std::size_t maxSharedCheckpointBytes = 4'096;

std::string taskRowKey(const std::string &job, int occurrence, std::size_t first)
{
    return job + taskRowMark + std::to_string(occurrence) + '.' + std::to_string(first);
}

// The occurrence and the first task in the key of a row with tasks; empty for another key.
std::optional<std::pair<int, std::size_t>> parseTaskRowKey(std::string_view key)
{
    const std::size_t mark = key.rfind(taskRowMark);
    if (mark == std::string_view::npos) {
        return std::nullopt;
    }
    const char *end = key.data() + key.size();
    std::pair<int, std::size_t> parsed;
    const std::from_chars_result occurrence = std::from_chars(key.data() + mark + 1, end, parsed.first);
    if (occurrence.ec != std::errc() || occurrence.ptr == end || *occurrence.ptr != '.') {
        return std::nullopt;
    }
    const std::from_chars_result first = std::from_chars(occurrence.ptr + 1, end, parsed.second);
    if (first.ec != std::errc() || first.ptr != end) {
        return std::nullopt;
    }
    return parsed;
}

std::size_t taskCount(const occurrence_record &occurrence)
{
    std::size_t count = 0;
    for (const step_record &step : occurrence.steps) {
        count += step.tasks.size();
    }
    return count;
}

// Numbers the placements among these tasks that have no batch yet.
void setBatch(occurrence_record &occurrence, std::size_t first, std::size_t end, std::int64_t batch)
{
    std::size_t before = 0;
    for (step_record &step : occurrence.steps) {
        std::map<std::size_t, task_record> &records = step.tasks.records();
        for (auto task = records.lower_bound(std::max(first, before) - before); task != records.end() && before + task->first < end; ++task) {
            if (task->second.phase == task_phase::Placing && task->second.batch == 0) {
                task->second.batch = batch;
            }
        }
        before += step.tasks.size();
    }
}

bool isFull(const row_changes &changes, const row_room &room)
{
    return changes.entries() >= room.entries || changes.bytes >= room.bytes;
}

void put(const std::string &key, const std::string &row, row_changes &changes)
{
    changes.rows.emplace_back(key, row);
    changes.bytes += row.size();
}

} // namespace

std::string_view jobOfRow(std::string_view key)
{
    return key.substr(0, key.find(taskRowMark));
}

rows_taken job_rows::takeChanges(job_record &job, std::int64_t batch, std::size_t maxRowBytes, const row_room &room, row_changes &changes)
{
    if (m_setAside) {
        return takeFirstRow(job, room, changes);
    }
    if (!m_divided) {
        const std::string row = writeState(job);
        if (row.size() <= std::min(maxRowBytes, maxSingleRowBytes)) {
            put(job.spec.id, row, changes);
            for (std::pair<const int, occurrence_record> &occurrence : job.occurrences) {
                setBatch(occurrence.second, 0, taskCount(occurrence.second), batch);
            }
            return rows_taken::All;
        }
        m_divided = true;
    }
    // A lease holder that reads the rows after only a part of them was stored must not take a done task for one that hasn't run. So the
    // undivided row stays until the rows with tasks are stored. Later the first row goes first: it says which occurrences are finished, or that
    // the job has ended, and the other rows then have no entry for done tasks.
    const bool firstRowFirst = job.ended() || !m_firstRow.empty();
    rows_taken taken = firstRowFirst ? takeFirstRow(job, room, changes) : rows_taken::All;
    if (taken == rows_taken::All) {
        taken = takeGroups(job, batch, maxRowBytes, room, changes);
    }
    return taken == rows_taken::All ? takeFirstRow(job, room, changes) : taken;
}

rows_taken job_rows::takeFirstRow(const job_record &job, const row_room &room, row_changes &changes)
{
    std::string row = writeFirstRow(job);
    if (row == m_firstRow) {
        return rows_taken::All;
    }
    if (isFull(changes, room)) {
        return rows_taken::Part;
    }
    put(job.spec.id, row, changes);
    m_firstRow = std::move(row);
    return rows_taken::All;
}

rows_taken job_rows::takeGroups(job_record &job, std::int64_t batch, std::size_t maxRowBytes, const row_room &room, row_changes &changes)
{
    std::vector<task_group> groups;
    for (const std::pair<const int, occurrence_record> &occurrence : job.occurrences) {
        const std::size_t tasks = taskCount(occurrence.second);
        for (std::size_t first = 0; first < tasks; first += maxTasksPerRow) {
            groups.emplace_back(occurrence.first, first);
        }
    }
    std::rotate(groups.begin(), std::lower_bound(groups.begin(), groups.end(), m_nextGroup), groups.end());
    for (const task_group &group : groups) {
        const rows_taken taken = takeGroup(job.occurrences.at(group.first), group.second, job, batch, maxRowBytes, room, changes);
        if (taken != rows_taken::All) {
            m_nextGroup = group;
            return taken;
        }
    }
    return takeDropped(job, room, changes);
}

rows_taken job_rows::takeGroup(occurrence_record &occurrence,
                               std::size_t first,
                               const job_record &job,
                               std::int64_t batch,
                               std::size_t maxRowBytes,
                               const row_room &room,
                               row_changes &changes)
{
    const std::size_t end = std::min(first + maxTasksPerRow, taskCount(occurrence));
    group_rows group = rowsOf(job, occurrence.number, first, end, maxRowBytes);
    if (group.tooLong) {
        return rows_taken::TooLong;
    }
    const auto stored = m_groups.find({occurrence.number, first});
    const bool changed = stored == m_groups.end() ? !group.rows.empty() : stored->second != group.rows;
    if (changed) {
        if (isFull(changes, room)) {
            return rows_taken::Part;
        }
        keyed_rows &before = m_groups[{occurrence.number, first}];
        replace(before, group.rows, changes);
        before = std::move(group.rows);
    }
    setBatch(occurrence, first, end, batch);
    return rows_taken::All;
}

// Deletes the rows of occurrences that are finished and were dropped.
rows_taken job_rows::takeDropped(const job_record &job, const row_room &room, row_changes &changes)
{
    for (auto group = m_groups.begin(); group != m_groups.end();) {
        if (job.occurrences.contains(group->first.first)) {
            ++group;
            continue;
        }
        if (isFull(changes, room)) {
            return rows_taken::Part;
        }
        replace(group->second, {}, changes);
        group = m_groups.erase(group);
    }
    return rows_taken::All;
}

job_rows::group_rows job_rows::rowsOf(const job_record &job, int occurrence, std::size_t first, std::size_t end, std::size_t maxRowBytes)
{
    group_rows group;
    addRows(job, occurrence, first, end, {maxRowBytes, maxRowBytes}, group);
    if (group.tooLong) {
        m_leavesCheckpointsOut = true;
        group = {};
        addRows(job, occurrence, first, end, {maxRowBytes, std::min(maxSharedCheckpointBytes, maxRowBytes / 2)}, group);
    }
    return group;
}

void job_rows::addRows(const job_record &job, int occurrence, std::size_t first, std::size_t end, const group_limits &limits, group_rows &group)
{
    std::string row = writeTasks(job, occurrence, first, end, limits.checkpointBytes);
    if (row.empty()) {
        return;
    }
    if (row.size() <= limits.rowBytes) {
        std::size_t bytes = row.size();
        for (const std::pair<const std::string, std::string> &other : group.rows) {
            bytes += other.second.size();
        }
        group.tooLong = group.tooLong || bytes > maxGroupBytes;
        group.rows.emplace(taskRowKey(job.spec.id, occurrence, first), std::move(row));
        return;
    }
    if (end - first == 1) {
        group.tooLong = true;
        return;
    }
    const std::size_t middle = first + (end - first) / 2;
    addRows(job, occurrence, first, middle, limits, group);
    addRows(job, occurrence, middle, end, limits, group);
}

void job_rows::replace(const keyed_rows &before, const keyed_rows &after, row_changes &changes)
{
    for (const std::pair<const std::string, std::string> &row : after) {
        const auto stored = before.find(row.first);
        if (stored == before.end() || stored->second != row.second) {
            put(row.first, row.second, changes);
        }
    }
    for (const std::pair<const std::string, std::string> &row : before) {
        if (!after.contains(row.first)) {
            changes.deletedKeys.push_back(row.first);
        }
    }
}

void job_rows::restore(std::string_view row, const std::map<std::string, std::string> &taskRows)
{
    const bool divided = isDivided(row);
    m_divided = divided || !taskRows.empty();
    m_firstRow = divided ? std::string(row) : std::string();
    for (const std::pair<const std::string, std::string> &taskRow : taskRows) {
        if (const std::optional<task_group> first = parseTaskRowKey(taskRow.first)) {
            m_groups[{first->first, first->second / maxTasksPerRow * maxTasksPerRow}].emplace(taskRow.first, taskRow.second);
        }
    }
}

std::vector<std::string> job_rows::keys(const std::string &job) const
{
    std::vector<std::string> all{job};
    for (const std::pair<const task_group, keyed_rows> &group : m_groups) {
        for (const std::pair<const std::string, std::string> &row : group.second) {
            all.push_back(row.first);
        }
    }
    return all;
}

} // namespace daisypass::sched
