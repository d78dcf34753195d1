#include "sched/task_table.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

task_record doneTask()
{
    task_record done;
    done.phase = task_phase::Done;
    return done;
}

} // namespace

const task_record &task_table::operator[](std::size_t index) const
{
    static const task_record untouched{};
    static const task_record done = doneTask();
    const auto own = m_records.find(index);
    if (own != m_records.end()) {
        return own->second;
    }
    return isFinished(index) ? done : untouched;
}

task_record &task_table::record(std::size_t index)
{
    const auto own = m_records.lower_bound(index);
    if (own != m_records.end() && own->first == index) {
        return own->second;
    }
    task_record &made = m_records.emplace_hint(own, index, (*this)[index])->second;
    if (isFinished(index)) {
        m_finished[index] = false;
        m_firstUnfinished = std::min(m_firstUnfinished, index);
    }
    return made;
}

void task_table::finish(std::size_t index)
{
    m_records.erase(index);
    if (index >= m_finished.size()) {
        // Doubles the size, as most steps are done in the order of their tasks.
        m_finished.resize(std::min(m_count, std::max(index + 1, 2 * m_finished.size())));
    }
    m_finished[index] = true;
    while (isFinished(m_firstUnfinished)) {
        ++m_firstUnfinished;
    }
}

} // namespace daisypass::sched
