#pragma once

// The jobs whose rows must be stored, in the order in which the rows are written.
//
//     store_queue queue;
//     queue.add(job, row_wait::StartOrEnd);
//     while (std::optional<std::string> next = queue.takeNext()) { ... write the job's row ... }
//
// A job is queued once. The rows for which callers wait go first; a part of the turns is kept for the others.

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace daisypass::sched {

/** What waits until a job's row is stored. */
enum class row_wait {
    /** The acknowledgement of ends, without which their executor is polled less often. */
    Acknowledgement,
    /** Starts of tasks, or the answer to callers that the job has ended. */
    StartOrEnd,
};

class store_queue
{
public:
    /** Adds the job, or moves it to the group that goes first if it is queued in the other one. */
    void add(const std::string &job, row_wait waits);
    /** Removes the job if it is queued. */
    void remove(const std::string &job);
    /** Removes the job whose row is written next; empty if there is none. */
    std::optional<std::string> takeNext();

    bool contains(const std::string &job) const
    {
        return m_queued.contains(job);
    }
    bool empty() const
    {
        return m_queued.empty();
    }
    /** Number of queued jobs with starts or an end that wait. */
    std::size_t startsAndEnds() const
    {
        return m_startsAndEnds.size();
    }

private:
    /** The oldest job of the acknowledgements' group; leaves out those that were moved to the other one. */
    std::optional<std::string> takeAcknowledgement();

    std::deque<std::string> m_startsAndEnds;
    /** Also names jobs that were moved to the other group since. */
    std::deque<std::string> m_acknowledgements;
    std::unordered_map<std::string, row_wait> m_queued;
    int m_startsAndEndsInTurn = 0;
};

} // namespace daisypass::sched
