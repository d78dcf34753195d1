// Executes the scheduler's actions (orders to executors and to the fleet service, log lines) and polls the list of VMs.

#include "node/dispatcher.h"

#include "base/clock.h"
#include "base/log.h"
#include "node/paged_read.h"
#include "node/store_limits.h"
#include "node/tables.h"
#include "node/wave_status.h"
#include "platform/records.h"

#include <algorithm>

namespace daisypass {

void dispatcher::execute(const sched::action &action)
{
    std::visit(
        [this](const auto &order) {
            execute(order);
        },
        action);
}

void dispatcher::execute(const sched::start_run &order)
{
    const start_order call{order.task, order.run, order.payload, order.leaseEndMs, tokenOf(order), order.checkpoint, order.ticket};
    const sched::order_target sentTo{order.address, order.startedUnixMs};
    m_relays->send({{order.executor, order.address}, call},
                   [weak = weak_from_this(), task = order.task, run = order.run, executor = order.executor, sentTo](const executor_answer &answer) {
                       if (const std::shared_ptr<dispatcher> self = weak.lock()) {
                           const order_result &result = std::get<order_result>(answer);
                           self->handleEvent(sched::start_answered{task, run, executor, result.status, result.clockMs, result.startedUnixMs, sentTo});
                       }
                   });
}

void dispatcher::execute(const sched::stop_run &order)
{
    const sched::order_target sentTo{order.address, order.startedUnixMs};
    m_relays->send({{order.executor, order.address}, stop_order{order.task, order.run, tokenOf(order)}},
                   [weak = weak_from_this(), task = order.task, run = order.run, executor = order.executor, sentTo](const executor_answer &answer) {
                       if (const std::shared_ptr<dispatcher> self = weak.lock()) {
                           const order_result &result = std::get<order_result>(answer);
                           self->handleEvent(sched::stop_answered{task, run, executor, result.status, sentTo, result.startedUnixMs});
                       }
                   });
}

void dispatcher::execute(const sched::throttle_run &order)
{
    m_relays->send({{order.executor, order.address}, throttle_order{order.task, order.run, order.percent, tokenOf(order)}}, [](const executor_answer &) {
        // The answer isn't needed: the executor's next list of runs shows the effect, and the scheduler repeats a lost order.
    });
}

void dispatcher::execute(const sched::poll_executor &order)
{
    const poll_order call{tokenOf(order), order.acknowledged, order.leaseEndMs, std::chrono::milliseconds(order.waitMs)};
    const sched::order_target sentTo{order.address, order.startedUnixMs};
    m_relays->send({{order.executor, order.address}, call},
                   [weak = weak_from_this(), executor = order.executor, sentAt = steadyMillis(), sentTo](executor_answer answer) {
                       if (const std::shared_ptr<dispatcher> self = weak.lock()) {
                           poll_result &result = std::get<poll_result>(answer);
                           self->handleEvent(sched::poll_answered{executor,
                                                                  result.status,
                                                                  sentAt,
                                                                  result.clockMs,
                                                                  result.startedUnixMs,
                                                                  std::move(result.runs),
                                                                  std::move(result.ends),
                                                                  result.moreEnds,
                                                                  sentTo});
                       }
                   });
}

void dispatcher::execute(const sched::request_advice &order)
{
    if (!m_settings.advice) {
        return;
    }
    const std::string step = order.job + '.' + std::to_string(order.occurrence) + '.' + std::to_string(order.step);
    const std::chrono::milliseconds wait(order.waitMs);
    m_executors.requestAdvice(*m_settings.advice, step, order.executors, wait, [weak = weak_from_this(), order](advice_result answer) {
        if (const std::shared_ptr<dispatcher> self = weak.lock()) {
            self->handleEvent(sched::advice_answered{
                order.job, order.occurrence, order.step, answer.status, order.executors, std::move(answer.tickets), answer.validMs, order.call});
        }
    });
}

bool dispatcher::admitFleetOrder(const std::function<void(fleet_status)> &done)
{
    if (renewalIsFresh()) {
        return true;
    }
    m_dependencies.runAfter(std::chrono::milliseconds(1), [done] {
        done(fleet_status::Refused);
    });
    return false;
}

void dispatcher::execute(const sched::move_vm &order)
{
    const std::weak_ptr<dispatcher> weak = weak_from_this();
    const std::function<void(fleet_status)> done = [weak, order](fleet_status status) {
        if (const std::shared_ptr<dispatcher> self = weak.lock()) {
            self->handleEvent(sched::move_answered{order.vm, order.pool, status, order.occupant});
        }
    };
    if (admitFleetOrder(done)) {
        m_dependencies.fleet.move({m_term.node, m_term.term}, order.vm, order.pool, done);
    }
}

void dispatcher::execute(const sched::maintain_vm &order)
{
    const std::weak_ptr<dispatcher> weak = weak_from_this();
    const std::function<void(fleet_status)> done = [weak, order](fleet_status status) {
        if (const std::shared_ptr<dispatcher> self = weak.lock()) {
            self->handleEvent(sched::maintenance_answered{order.vm, order.wave, status, order.occupant});
        }
    };
    if (admitFleetOrder(done)) {
        m_dependencies.fleet.maintain({m_term.node, m_term.term}, order.vm, order.wave, done);
    }
}

// The scheduler names only jobs in a final state, so the deletion is idempotent: it needs no precondition and may be repeated or arrive
// late.
void dispatcher::execute(const sched::delete_submissions &order)
{
    std::map<std::string, std::vector<std::string>> parts;
    for (const std::string &job : order.jobs) {
        parts[tables::partOfJob(job)].push_back(job);
    }
    for (const std::pair<const std::string, std::vector<std::string>> &part : parts) {
        row_transaction transaction;
        for (const std::string &job : part.second) {
            transaction.deletes.push_back(tables::jobRow(job));
            transaction.deletes.push_back(tables::cancelRow(job));
        }
        m_dependencies.store.transact(transaction, holderCommitTimeout, [weak = weak_from_this(), jobs = part.second](const transact_result &result) {
            const std::shared_ptr<dispatcher> self = weak.lock();
            if (self && result.status == store_status::Ok) {
                self->handleEvent(sched::submissions_deleted{jobs});
            }
        });
    }
}

void dispatcher::execute(const sched::publish_wave &order)
{
    const row_transaction write = waveStatusWrite(order.wave, order.completed);
    m_dependencies.store.transact(write, holderCommitTimeout, [weak = weak_from_this(), order](const transact_result &result) {
        const std::shared_ptr<dispatcher> self = weak.lock();
        if (!self || waveStatusIsWritten(result.status)) {
            return;
        }
        self->m_dependencies.runAfter(holderReadRetryDelay, [weak, order] {
            if (const std::shared_ptr<dispatcher> again = weak.lock()) {
                const std::lock_guard<std::mutex> guard(again->m_lock);
                if (!again->m_stopped) {
                    again->execute(order);
                }
            }
        });
    });
}

void dispatcher::execute(const sched::step_down &order)
{
    markTermLost(order.evidence);
}

void dispatcher::execute(const sched::log_event &entry)
{
    std::vector<log_field> fields;
    fields.reserve(entry.fields.size() + 1);
    for (const std::pair<std::string, std::string> &field : entry.fields) {
        fields.emplace_back(field.first, field.second);
    }
    fields.emplace_back("term", m_term.term);
    logEvent(entry.event, fields);
}

void dispatcher::listVms(const std::string &page)
{
    m_dependencies.fleet.list(page, [weak = weak_from_this()](const vm_page &answer) {
        if (const std::shared_ptr<dispatcher> self = weak.lock()) {
            self->onVmPage(answer);
        }
    });
}

void dispatcher::onVmPage(const vm_page &page)
{
    std::unique_lock<std::mutex> guard(m_lock);
    if (m_stopped) {
        return;
    }
    if (page.status != fleet_status::Ok) {
        m_vmListInFlight = false;
        m_vmListFinishedAt = steadyMillis();
        m_dependencies.metrics.findCounter("daisypass_vm_list_failures_total").add();
        return;
    }
    m_listedVms.insert(m_listedVms.end(), page.vms.begin(), page.vms.end());
    if (!page.nextPage.empty()) {
        listVms(page.nextPage);
        return;
    }
    m_vmListInFlight = false;
    m_vmListFinishedAt = steadyMillis();
    m_scheduler.handle(sched::vms_listed{std::move(m_listedVms), m_vmListRequestedAt}, m_vmListFinishedAt);
    m_listedVms.clear();
    readRegistryIfStale();
    runScheduler(guard);
}

// Reads the executor registry in full when an up VM lists an executor that the registry's change feed hasn't delivered: the feed may be
// delayed.
void dispatcher::readRegistryIfStale()
{
    if (m_registryReadInFlight || !m_scheduler.hasUnregisteredExecutor()) {
        return;
    }
    m_registryReadInFlight = true;
    readAllPages(m_dependencies.store, {executorTable, "", "", ""}, holderReadTimeout, [weak = weak_from_this()](const rows_result &page, bool last) {
        const std::shared_ptr<dispatcher> self = weak.lock();
        return self && self->onRegistryPage(page, last);
    });
}

// A failed page ends the read; it is started again after the next list of VMs if an executor is still unknown.
bool dispatcher::onRegistryPage(const rows_result &page, bool last)
{
    std::unique_lock<std::mutex> guard(m_lock);
    m_registryReadInFlight = !last;
    if (m_stopped || page.status != store_status::Ok) {
        return false;
    }
    for (const store_row &row : page.rows) {
        onExecutorRow(row);
    }
    runScheduler(guard);
    return true;
}

} // namespace daisypass
