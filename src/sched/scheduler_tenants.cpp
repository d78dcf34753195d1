// Tenants in the scheduler: what their runs use, which jobs they have sent beyond their rate, and the log lines when they are held back.

#include "sched/scheduler.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

std::string textOf(const resources &amount)
{
    return "cpu " + std::to_string(amount.cpu) + " memory_mb " + std::to_string(amount.memoryMb) + " gpu " + std::to_string(amount.gpu);
}

// How many times the demand fits into the room.
int timesWithin(std::int64_t demand, std::int64_t room, int most)
{
    return demand == 0 ? most : static_cast<int>(std::min<std::int64_t>(most, room / demand));
}

} // namespace

// Runs are counted only while the configuration has tenants, so those that began before are counted when it gets some.
void scheduler::configureTenants()
{
    const bool wasInUse = m_tenants.isInUse();
    m_tenants.configure(m_configuration.tenants);
    if (wasInUse != m_tenants.isInUse()) {
        chargeAllRuns();
    }
}

void scheduler::addToTenant(job_record &job)
{
    job.tenant = m_tenants.indexOf(job.spec.tenant);
    if (job.tenant != noTenant) {
        m_unratedJobs.emplace(job.spec.acceptedUnixMs, job.spec.id);
    }
}

void scheduler::chargeTenant(const job_record &job, const task_id &id)
{
    if (!m_tenants.isInUse()) {
        return;
    }
    const step_spec &step = job.spec.steps[static_cast<std::size_t>(id.step)];
    m_tenants.add(id, {job.tenant, poolOf(job), step.demand, step.longRunning ? resources{} : step.countedDemand()});
}

void scheduler::chargeAllRuns()
{
    m_tenants.clear();
    for (const std::pair<const std::string, std::unique_ptr<job_record>> &job : m_jobs) {
        job.second->forEachOccupying([&](const task_id &id, const task_record &) {
            chargeTenant(*job.second, id);
        });
    }
}

void scheduler::countUncertainRuns()
{
    m_tenants.clearUncertain();
    for (const std::pair<const std::string, executor_record> &item : m_executors) {
        for (const task_id &id : item.second.untrackedRuns) {
            addUncertainRun(id);
        }
        if (item.second.abandoned.empty()) {
            continue;
        }
        for (const run_id &run : item.second.abandoned.runs()) {
            addUncertainRun(run.first);
        }
    }
}

void scheduler::addUncertainRun(const task_id &id)
{
    const auto job = m_jobs.find(id.job);
    if (job != m_jobs.end()) {
        m_tenants.addUncertain(job->second->tenant, job->second->spec.steps[static_cast<std::size_t>(id.step)].demand);
    }
}

// A new lease holder reads the jobs in any order, so they are judged in the order of their acceptance once they are all read. A clock that
// is ahead of this process's clock must not delay the refill of the tenant's rate.
void scheduler::rateNewJobs()
{
    for (const std::pair<std::int64_t, std::string> &one : m_unratedJobs) {
        const auto job = m_jobs.find(one.second);
        if (job == m_jobs.end() || !m_tenants.isKnown(job->second->tenant)) {
            continue;
        }
        const std::int64_t acceptedUnixMs = m_unixMs > 0 ? std::min(one.first, m_unixMs) : one.first;
        job_record &rated = *job->second;
        rated.overRate = !m_jobRates[rated.tenant].take(m_tenants.weightOf(rated.tenant), acceptedUnixMs);
        m_counts.jobsOverRate += rated.overRate ? 1 : 0;
    }
    m_unratedJobs.clear();
}

void scheduler::holdByCap(job_record &job, time_ms now)
{
    if (m_capHolds.hold(job.tenant, now)) {
        logEvent("tenant_held_by_cap", {{"tenant", m_tenants.nameOf(job.tenant)}, {"used", textOf(m_tenants.usedBy(job.tenant))}, {"request", job.spec.id}});
    }
}

void scheduler::holdByShare(std::size_t tenant, const std::string &pool, double use, double share, time_ms now)
{
    if (m_shareHolds.hold(tenant, now)) {
        logEvent("tenant_held_by_share",
                 {{"tenant", m_tenants.nameOf(tenant)}, {"pool", pool}, {"use", std::to_string(use)}, {"share", std::to_string(share)}});
    }
}

// Also sets the gauges of tenants that are held back, which change once for each cleanup.
void scheduler::logEndedHolds(time_ms now)
{
    for (std::size_t tenant : m_capHolds.takeEnded(now)) {
        logEvent("tenant_below_cap", {{"tenant", m_tenants.nameOf(tenant)}});
    }
    for (std::size_t tenant : m_shareHolds.takeEnded(now)) {
        logEvent("tenant_below_share", {{"tenant", m_tenants.nameOf(tenant)}});
    }
    m_tenantGauges.heldByCap = static_cast<std::int64_t>(m_capHolds.count());
    m_tenantGauges.heldByShare = static_cast<std::int64_t>(m_shareHolds.count());
}

int scheduler::admittedByCap(const job_record &job, int step, int waiting, std::vector<resources> &room) const
{
    if (!m_tenants.isInUse()) {
        return waiting;
    }
    const resources &demand = job.spec.steps[static_cast<std::size_t>(step)].demand;
    resources &left = room[job.tenant];
    const int cpu = timesWithin(demand.cpu, left.cpu, waiting);
    const int memory = timesWithin(demand.memoryMb, left.memoryMb, waiting);
    const int admitted = std::min({cpu, memory, timesWithin(demand.gpu, left.gpu, waiting)});
    left -= times(demand, admitted);
    return admitted;
}

} // namespace daisypass::sched
