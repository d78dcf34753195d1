#pragma once

// Decides whether a call may cancel a stored job (docs/design/tenants.md, "At the door").
//
//     const job_caller caller{queue.key, tenant};
//     if (!mayCancel(*job, caller, view)) { ... }

#include "sched/model.h"

#include <string>

namespace daisypass {

/** Who asks for a job: the queue that the call addresses, and the tenant of its key; empty without a key. */
struct job_caller
{
    sched::queue_key queue;
    std::string tenant;
};

/**
 * A job may be cancelled by its tenant. It may also be cancelled by a call of its own queue if that queue needs no key any more, and by any
 * call if it has no tenant, or has one that the configuration no longer contains.
 */
bool mayCancel(const sched::job_spec &job, const job_caller &caller, const sched::configuration_view &view);

} // namespace daisypass
