// Memory of jobs: charges it to the account, frees what ended jobs don't need any more, and deletes old submissions.

#include "sched/scheduler.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// Maximum number of submissions deleted with one order; a store transaction has at most 100 entries, and a job has two.
constexpr std::size_t maxSubmissionsPerDelete = 40;
// An unanswered order to delete submissions is repeated after this time.
constexpr time_ms deleteRetryMs = 5'000;
// Deleted jobs are remembered for this long; any read of the submissions that began before the deletion has ended by then.
constexpr time_ms deletedJobKeepMs = 30'000;

} // namespace

void scheduler::charge(job_record &job, const job_size &size, time_ms now)
{
    m_jobAccount.remove(job.charged, now);
    m_jobAccount.add(size);
    job.charged = size;
}

bool scheduler::isSettled(const job_record &job) const
{
    return !job.dirty && job.batch <= m_lastCommittedBatch && !m_stoppingJobs.contains(job.spec.id);
}

void scheduler::trimEndedJobs(time_ms now)
{
    std::erase_if(m_untrimmedJobs, [&](const std::string &id) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end()) {
            return true;
        }
        job_record &job = *found->second;
        if (!isSettled(job) || job.anyOccupying()) {
            return false;
        }
        job.trim();
        charge(job, endedJobSize, now);
        return true;
    });
}

// A submission without a state row would be read as a job that has not started, so the state row is deleted only after the submission.
void scheduler::deleteOldSubmissions(time_ms now)
{
    std::erase_if(m_deletedJobs, [&](const std::pair<const std::string, time_ms> &job) {
        return job.second + deletedJobKeepMs < now;
    });
    // Twice the time for which callers may query a job, so that a takeover in between doesn't shorten it.
    const time_ms keep = 2 * m_bounds.statusKeepMs;
    const auto mayRequest = [now](time_ms requestedAt) {
        return requestedAt == 0 || requestedAt + deleteRetryMs < now;
    };
    delete_submissions order;
    for (const std::string &id : m_endedJobs) {
        job_record &job = *m_jobs.at(id);
        if (job.endedAt + keep >= now || order.jobs.size() >= maxSubmissionsPerDelete) {
            break;
        }
        if (isSettled(job) && mayRequest(job.deletionRequestedAt)) {
            job.deletionRequestedAt = now;
            order.jobs.push_back(id);
        }
    }
    for (std::pair<const std::string, barred_submission> &barred : m_barredSubmissions) {
        const bool due = barred.second.since + keep < now && order.jobs.size() < maxSubmissionsPerDelete;
        if (due && mayRequest(barred.second.deletionRequestedAt)) {
            barred.second.deletionRequestedAt = now;
            order.jobs.push_back(barred.first);
        }
    }
    if (!order.jobs.empty()) {
        m_actions.push_back(std::move(order));
    }
}

void scheduler::on(const submissions_deleted &what, time_ms now)
{
    const std::set<std::string> dropped(what.jobs.begin(), what.jobs.end());
    std::erase_if(m_endedJobs, [&](const std::string &id) {
        return dropped.contains(id);
    });
    for (const std::string &id : dropped) {
        m_barredSubmissions.erase(id);
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end()) {
            continue;
        }
        m_deletedJobs[id] = now;
        const std::vector<std::string> keys = m_jobRows[id].keys(id);
        m_rowsToDelete.insert(m_rowsToDelete.end(), keys.begin(), keys.end());
        m_jobRows.erase(id);
        m_storeQueue.remove(id);
        m_unratedJobs.erase({found->second->spec.acceptedUnixMs, id});
        charge(*found->second, {}, now);
        std::erase(m_backlog, found->second.get());
        m_jobs.erase(found);
    }
}

} // namespace daisypass::sched
