#pragma once

// The executors on which a placement pass may place tasks, ordered by their free processor capacity.
//
//     placement_candidates candidates;
//     candidates.add(executor);
//     candidates.sort();
//     for (auto candidate = candidates.firstWith(demand.cpu); candidate != candidates.end(); ++candidate) { ... }
//     candidates.refresh(executor);    // after its free capacity has changed
//
// Best fit takes the executor with the least free capacity that is enough, so a search starts there and mostly ends at once.

#include "sched/executor_record.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace daisypass::sched {

class placement_candidates
{
public:
    struct candidate
    {
        /** Free processor capacity in thousandths of a core. */
        std::int64_t freeCpu = 0;
        /** The order in which the executors were added; the first of those with the same free capacity is preferred. */
        std::size_t order = 0;
        executor_record *executor = nullptr;

        bool operator<(const candidate &other) const
        {
            return std::tie(freeCpu, order) < std::tie(other.freeCpu, other.order);
        }
    };
    using const_iterator = std::vector<candidate>::const_iterator;

    void add(executor_record &executor);
    /** Must be called after the last `add` and before any other function. */
    void sort();
    /** The executor with the least free capacity that is enough; for a demand of 0 the first one. */
    const_iterator firstWith(std::int64_t cpu) const;
    const_iterator end() const
    {
        return m_sorted.end();
    }
    bool empty() const
    {
        return m_sorted.empty();
    }
    bool contains(const executor_record &executor) const
    {
        return m_keys.contains(&executor);
    }
    /** Puts the executor in its new place; does nothing if it isn't among the candidates. */
    void refresh(executor_record &executor);
    /** The executors in the order in which they were added. */
    std::vector<executor_record *> executors() const;

private:
    std::vector<candidate> m_sorted;
    /** The keys by which the executors are sorted. */
    std::unordered_map<const executor_record *, candidate> m_keys;
};

} // namespace daisypass::sched
