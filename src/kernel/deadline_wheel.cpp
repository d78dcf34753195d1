#include "kernel/deadline_wheel.h"

#include <algorithm>

namespace daisypass {

void deadline_wheel::add(request_index index)
{
    // A deadline before the current step goes into the slot that the next collect() scans first.
    const std::int64_t step = std::max(m_table->operator[](index).deadline / stepTime, m_currentStep);
    request_record &record = (*m_table)[index];
    record.deadlineSlot = static_cast<std::uint32_t>(step % slotCount);
    m_slots[record.deadlineSlot].pushBack(*m_table, &request_record::deadlineLinks, index);
}

void deadline_wheel::remove(request_index index)
{
    m_slots[(*m_table)[index].deadlineSlot].remove(*m_table, &request_record::deadlineLinks, index);
}

void deadline_wheel::collect(timestamp now, std::vector<request_index> &due)
{
    const std::int64_t current = now / stepTime;
    if (current == m_currentStep) {
        // The wheel is scanned at most once per step. Otherwise each event within a step would scan all requests of a burst whose common deadline falls in that
        // step.
        return;
    }
    const std::int64_t from = std::max({m_currentStep, current - slotCount + 1, std::int64_t{0}});
    for (std::int64_t step = from; step <= current; ++step) {
        // A slot also contains deadlines of later revolutions, so each deadline is compared with `now`.
        for (request_index index = m_slots[step % slotCount].first; index != noRequest; index = (*m_table)[index].deadlineLinks.next) {
            if ((*m_table)[index].deadline <= now) {
                due.push_back(index);
            }
        }
    }
    m_currentStep = std::max(m_currentStep, current);
}

} // namespace daisypass
