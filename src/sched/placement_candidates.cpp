#include "sched/placement_candidates.h"

#include <algorithm>

namespace daisypass::sched {

void placement_candidates::add(executor_record &executor)
{
    const candidate added{executor.freeCapacity().cpu, m_sorted.size(), &executor};
    m_sorted.push_back(added);
    m_keys.emplace(&executor, added);
}

void placement_candidates::sort()
{
    std::sort(m_sorted.begin(), m_sorted.end());
}

placement_candidates::const_iterator placement_candidates::firstWith(std::int64_t cpu) const
{
    // A demand of 0 fits even if the capacity is exceeded.
    return cpu == 0 ? m_sorted.begin() : std::lower_bound(m_sorted.begin(), m_sorted.end(), candidate{cpu, 0, nullptr});
}

void placement_candidates::refresh(executor_record &executor)
{
    const auto key = m_keys.find(&executor);
    if (key == m_keys.end()) {
        return;
    }
    const auto from = std::lower_bound(m_sorted.begin(), m_sorted.end(), key->second);
    key->second.freeCpu = executor.freeCapacity().cpu;
    const auto to = std::lower_bound(m_sorted.begin(), m_sorted.end(), key->second);
    *from = key->second;
    if (to <= from) {
        std::rotate(to, from, std::next(from));
    } else {
        std::rotate(from, std::next(from), to);
    }
}

std::vector<executor_record *> placement_candidates::executors() const
{
    std::vector<candidate> byOrder = m_sorted;
    std::sort(byOrder.begin(), byOrder.end(), [](const candidate &a, const candidate &b) {
        return a.order < b.order;
    });
    std::vector<executor_record *> result;
    result.reserve(byOrder.size());
    for (const candidate &one : byOrder) {
        result.push_back(one.executor);
    }
    return result;
}

} // namespace daisypass::sched
