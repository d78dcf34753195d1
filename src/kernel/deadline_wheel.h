#pragma once

// Finds the requests whose deadline has passed: a hashed timing wheel (Varghese and Lauck 1987).
//
// Adding and removing cost O(1), so a wave of cancellations leaves nothing behind. A deadline is reported at most one step (10 ms) late,
// counted from when the request was added if it had passed by then.

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
    static constexpr std::int64_t slotCount = 1024;

    request_table *m_table;
    std::array<request_list, slotCount> m_slots;
    std::int64_t m_position = -1;
};

} // namespace daisypass
