#pragma once

// Finds the requests whose deadline has passed: a hashed timing wheel (Varghese and Lauck 1987).
//
//     deadline_wheel wheel(table);
//     wheel.add(index);
//     wheel.collect(now, due);
//
// add() and remove() cost O(1), so cancelled requests are removed at once. A deadline is reported at most one step (10 ms) after it passes, or
// after add() if it had already passed.

#include "kernel/request_table.h"

#include <array>
#include <vector>

namespace daisypass {

class deadline_wheel
{
public:
    explicit deadline_wheel(request_table &table)
        : m_table(&table)
    {
    }

    void add(request_index index);
    void remove(request_index index);

    /** Appends the requests whose deadline is at or before `now`; they stay in the wheel until removed. */
    void collect(timestamp now, std::vector<request_index> &due);

private:
    static constexpr duration stepTime{10'000};
    /** Steps of one revolution, about 10 s. */
    static constexpr std::int64_t slotCount = 1024;

    request_table *m_table;
    std::array<request_list, slotCount> m_slots;
    /** Step of the last collect(); -1 before the first. */
    std::int64_t m_currentStep = -1;
};

} // namespace daisypass
