#include "sched/store_queue.h"

#include <utility>

namespace daisypass::sched {
namespace {

// After this many rows with starts or ends, one row is written of which only acknowledgements wait.
constexpr int startsAndEndsPerTurn = 3;

} // namespace

void store_queue::add(const std::string &job, row_wait waits)
{
    const auto queued = m_queued.find(job);
    const bool known = queued != m_queued.end();
    if (known && (queued->second == row_wait::StartOrEnd || waits == row_wait::Acknowledgement)) {
        return;
    }
    m_queued[job] = waits;
    (waits == row_wait::StartOrEnd ? m_startsAndEnds : m_acknowledgements).push_back(job);
}

void store_queue::remove(const std::string &job)
{
    if (m_queued.erase(job) > 0) {
        std::erase(m_startsAndEnds, job);
        std::erase(m_acknowledgements, job);
    }
}

std::optional<std::string> store_queue::takeNext()
{
    if (m_startsAndEnds.empty() || m_startsAndEndsInTurn >= startsAndEndsPerTurn) {
        m_startsAndEndsInTurn = 0;
        std::optional<std::string> next = takeAcknowledgement();
        if (next) {
            return next;
        }
    }
    if (m_startsAndEnds.empty()) {
        return std::nullopt;
    }
    ++m_startsAndEndsInTurn;
    std::string next = std::move(m_startsAndEnds.front());
    m_startsAndEnds.pop_front();
    m_queued.erase(next);
    return next;
}

std::optional<std::string> store_queue::takeAcknowledgement()
{
    while (!m_acknowledgements.empty()) {
        std::string next = std::move(m_acknowledgements.front());
        m_acknowledgements.pop_front();
        const auto queued = m_queued.find(next);
        if (queued != m_queued.end() && queued->second == row_wait::Acknowledgement) {
            m_queued.erase(queued);
            return next;
        }
    }
    return std::nullopt;
}

} // namespace daisypass::sched
