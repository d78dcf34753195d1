#pragma once

// Decides in which order the waiting suspects of a pool are tried, and how many of its executors are kept for trials at a time.
//
// A trial is a start on an executor that gets no other run before it has survived this one. The trial of an innocent task takes well under
// a second. The trial of a task that crashes executors takes its executor away until the executor's VM has the next one.
//
//     sortForTrials(waiting);
//     trial_quota quota(executorsOfPool, roomIsScarce);
//     if (quota.take(suspect.kind)) { ... keep an executor for the suspect ... }

#include "sched/model.h"

#include <cstddef>
#include <vector>

namespace daisypass::sched {

/** What speaks against a task, from the least to the most. */
enum class suspicion {
    /** Executors have crashed under it, each with other suspects. */
    Shared,
    /** None has crashed under it, but tasks of its queue crash executors, and no task of its step has survived a start yet. */
    Untried,
    /** An executor has crashed while it was the only suspect. */
    Sole,
};

struct waiting_suspect
{
    task_id task;
    suspicion kind = suspicion::Shared;
    bool longRunning = false;
    /** It may be tried on one executor together with others of its kind. */
    bool mayShare = false;
    /** When its latest run was lost, or its job was accepted. */
    time_ms waitingSince = 0;
};

/** At most so many suspects are tried on one executor together. */
inline constexpr std::size_t maxSuspectsPerTrial = 6;

/** Puts long-running tasks first, then those that are probably innocent; among equals those that have waited longest. */
void sortForTrials(std::vector<waiting_suspect> &waiting);

/** The executors of one pool that may be kept for trials at the same time. */
class trial_quota
{
public:
    /**
     * `executors` is the number of the pool's executors, including those that have fallen silent during a trial. Room is scarce if other
     * tasks wait for it.
     */
    trial_quota(std::size_t executors, bool roomIsScarce);

    /** Counts an executor that is kept already. */
    void add(suspicion kind);
    /** Whether one more executor may be kept. */
    bool has(suspicion kind) const;
    /** Counts one more executor; false if it would be one too many. */
    bool take(suspicion kind);

private:
    std::size_t m_left;
    /** How many of them may be kept for trials that will probably end in a crash. */
    std::size_t m_leftForCrashes;
};

} // namespace daisypass::sched
