#pragma once

// Notices that tasks of a queue crash executors one after the other, so that further ones are to be expected.
//
//     crash_watch watch;
//     watch.crashed(queue, job, now);    // an executor has crashed with a task of the job as the only suspect
//     if (watch.expectsCrashes(queue, now)) { ... start one task of a new step alone first ... }

#include "sched/model.h"

#include <map>
#include <string>

namespace daisypass::sched {

class crash_watch
{
public:
    void crashed(const queue_key &queue, const std::string &job, time_ms now);
    /** Takes back the crash under the job: it had another reason. */
    void retract(const queue_key &queue, const std::string &job);
    bool expectsCrashes(const queue_key &queue, time_ms now) const;
    /** Drops crashes that are too old to matter. */
    void forgetOld(time_ms now);

private:
    /** For each queue, when an executor last crashed under a task of each job. */
    std::map<queue_key, std::map<std::string, time_ms>> m_crashes;
};

} // namespace daisypass::sched
