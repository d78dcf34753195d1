#include "node/job_access.h"

#include <algorithm>

namespace daisypass {
namespace {

bool contains(const sched::configuration_view &view, const std::string &tenant)
{
    return std::any_of(view.tenants.begin(), view.tenants.end(), [&tenant](const sched::tenant_config &known) {
        return known.name == tenant;
    });
}

} // namespace

bool mayCancel(const sched::job_spec &job, const job_caller &caller, const sched::configuration_view &view)
{
    if (job.tenant.empty() || job.tenant == caller.tenant) {
        return true;
    }
    // A caller without a tenant has passed the check of keys only if the queue that it addresses needs none.
    if (caller.tenant.empty() && caller.queue == job.queue) {
        return true;
    }
    return !contains(view, job.tenant);
}

} // namespace daisypass
