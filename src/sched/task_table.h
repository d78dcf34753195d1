#pragma once

// The tasks of a step. Only tasks that differ from a new one and aren't done have a record of their own, so that a step takes memory for the
// tasks that have been placed, not for those that wait or are done.
//
//     task_table tasks(count);
//     if (tasks[index].phase == task_phase::Waiting) { tasks.record(index).phase = task_phase::Placing; }
//     tasks.finish(index);
//     for (std::pair<const std::size_t, task_record> &task : tasks.records()) { ... }

#include "sched/task_record.h"

#include <cstddef>
#include <map>
#include <vector>

namespace daisypass::sched {

class task_table
{
public:
    explicit task_table(std::size_t count = 0)
        : m_count(count)
    {
    }

    std::size_t size() const
    {
        return m_count;
    }
    /** The task's state; tasks without a record of their own share one. */
    const task_record &operator[](std::size_t index) const;
    /** The task's own record, which is made if it has none. Records keep their address until the task is finished. */
    task_record &record(std::size_t index);
    /** The task is done, and its record is dropped. */
    void finish(std::size_t index);
    /** All tasks below this index are done. */
    std::size_t firstUnfinished() const
    {
        return m_firstUnfinished;
    }

    /** The records by index. */
    std::map<std::size_t, task_record> &records()
    {
        return m_records;
    }
    const std::map<std::size_t, task_record> &records() const
    {
        return m_records;
    }

private:
    bool isFinished(std::size_t index) const
    {
        return index < m_finished.size() && m_finished[index];
    }

    std::size_t m_count;
    std::map<std::size_t, task_record> m_records;
    /** Whether the task is done and has no record; tasks beyond its end aren't. */
    std::vector<bool> m_finished;
    std::size_t m_firstUnfinished = 0;
};

} // namespace daisypass::sched
