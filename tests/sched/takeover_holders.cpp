// The lease holders of the simulation: how a term begins and recovers, which events its scheduler gets, and what it commits.

#include "takeover_world.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

constexpr time_ms tickEveryMs = 20;
constexpr time_ms listVmsEveryMs = 900;
// Probability at each takeover that the former holder loses the store, and that an executor answers only former holders.
constexpr double partitionProbability = 0.3;
constexpr time_ms maxOverlapMs = 15'000;

} // namespace

// Begins a term. The former holder continues for a while, at times without the store, and at times it is the only one that reaches an
// executor.
void takeover_world::takeOver()
{
    term_times times{m_now, m_now};
    if (m_holder) {
        ++m_outcome.takeovers;
        times.earlierGrantsUntil = m_holder->renewedAt + grantsWithoutRenewalMs;
        m_holder->storeUnreachable = drawWithProbability(partitionProbability);
        const time_ms overlapMs = m_holder->storeUnreachable ? maxOverlapMs : between(0, 1'200);
        at(m_now + overlapMs, [former = m_holder] {
            former->stopped = true;
        });
    }
    m_holder = std::make_shared<holder>(m_bounds, times, ++m_term);
    if (drawWithProbability(partitionProbability)) {
        becomeUnresponsive("vm-" + std::to_string(between(0, vmCount - 1)), m_term);
    }
    at(m_now + storeMs(), [this, owner = m_holder] {
        recover(owner);
    });
}

void takeover_world::recover(const holder_ptr &owner)
{
    const auto lateStarts = m_rows.find(lateStartsRowKey);
    if (lateStarts != m_rows.end()) {
        owner->taskScheduler.restoreLateStarts(lateStarts->second, m_now);
    }
    const auto orders = m_rows.find(fleetOrdersRowKey);
    if (orders != m_rows.end()) {
        owner->taskScheduler.restoreFleetOrders(orders->second, m_now);
    }
    const std::string waves(wavesRowKey);
    for (auto wave = m_rows.lower_bound(waves); wave != m_rows.end() && jobOfRow(wave->first) == waves; ++wave) {
        owner->taskScheduler.restoreWave(wave->first, wave->second);
    }
    owner->taskScheduler.handle(configuration_changed{m_configuration}, m_now);
    owner->taskScheduler.handle(wave_requested{m_wave, m_now}, m_now);
    for (const std::pair<const std::string, job_spec> &job : m_jobs) {
        const auto row = m_rows.find(job.first);
        const std::map<std::string, std::string> taskRows(m_rows.lower_bound(job.first + '/'), m_rows.lower_bound(job.first + '0'));
        owner->taskScheduler.restore(job.second, row == m_rows.end() ? std::string() : row->second, m_now, taskRows);
    }
    owner->recovered = true;
    const std::map<std::string, registry_change> snapshot = m_registry;
    owner->nextChange = m_changes.size();
    at(m_now + storeMs(), [this, owner, snapshot] {
        for (const std::pair<const std::string, registry_change> &row : snapshot) {
            feed(owner, executor_entry_changed{*row.second.entry, row.second.version});
        }
        owner->followsRegistry = true;
        followRegistry(owner);
    });
    listVms(owner);
    tickHolder(owner);
}

void takeover_world::followRegistry(const holder_ptr &owner)
{
    if (owner->stopped) {
        return;
    }
    const std::size_t known = m_changes.size();
    at(m_now + storeMs(), [this, owner, known] {
        for (; owner->nextChange < known; ++owner->nextChange) {
            const registry_change &change = m_changes[owner->nextChange];
            if (change.entry) {
                feed(owner, executor_entry_changed{*change.entry, change.version});
            } else {
                feed(owner, executor_entry_removed{change.id, change.version});
            }
        }
        followRegistry(owner);
    });
}

void takeover_world::listVms(const holder_ptr &owner)
{
    if (owner->stopped) {
        return;
    }
    at(m_now + between(1, 20), [this, owner, askedAt = m_now] {
        vms_listed list;
        list.askedAt = askedAt;
        for (const std::pair<const std::string, simulated_vm> &vm : m_vms) {
            list.vms.push_back(vm.second.listed);
        }
        at(m_now + between(1, 20), [this, owner, list] {
            feed(owner, list);
            at(m_now + listVmsEveryMs, [this, owner] {
                listVms(owner);
            });
        });
    });
}

void takeover_world::tickHolder(const holder_ptr &owner)
{
    if (owner->stopped) {
        return;
    }
    if (owner->term == m_term) {
        owner->renewedAt = m_now;
        feed(owner, lease_renewed{m_now});
    }
    feed(owner, tick{m_now});
    at(m_now + tickEveryMs, [this, owner] {
        tickHolder(owner);
    });
}

void takeover_world::feed(const holder_ptr &owner, const event &what)
{
    if (!owner || owner->stopped || !owner->recovered) {
        return;
    }
    owner->taskScheduler.handle(what, m_now);
    planAndCommit(owner);
}

void takeover_world::planAndCommit(const holder_ptr &owner)
{
    owner->taskScheduler.plan(m_now);
    for (const action &next : owner->taskScheduler.takeActions()) {
        std::visit(
            [&](const auto &one) {
                carryOut(owner, one);
            },
            next);
    }
    if (owner->committing) {
        return;
    }
    if (std::optional<commit_batch> batch = owner->taskScheduler.takeBatch(m_now)) {
        owner->committing = true;
        commit(owner, std::move(*batch));
    }
}

void takeover_world::commit(const holder_ptr &owner, commit_batch batch)
{
    if (owner->storeUnreachable) {
        return;
    }
    at(m_now + storeMs(), [this, owner, batch = std::move(batch)] {
        const bool accepted = owner->term == m_term;
        if (accepted) {
            for (const std::pair<std::string, std::string> &row : batch.rows) {
                m_rows[row.first] = row.second;
            }
            for (const std::string &key : batch.deletedKeys) {
                // The model keeps the rows of jobs whose submissions are deleted, for the outcome.
                if (!m_jobs.contains(key)) {
                    m_rows.erase(key);
                }
            }
        }
        at(m_now + storeMs(), [this, owner, accepted, number = batch.number] {
            owner->committing = false;
            owner->stopped = owner->stopped || !accepted;
            feed(owner, batch_committed{number});
        });
    });
}

void takeover_world::carryOut(const holder_ptr &owner, const step_down &)
{
    owner->stopped = true;
}

void takeover_world::carryOut(const holder_ptr &owner, const log_event &note)
{
    std::string line = "term " + std::to_string(owner->term) + ' ' + note.event;
    for (const std::pair<std::string, std::string> &field : note.fields) {
        line += ' ' + field.first + '=' + field.second;
    }
    trace(line);
}

} // namespace daisypass::sched
