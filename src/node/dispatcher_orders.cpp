// Carries out the scheduler's actions: orders to executors and to the fleet, log lines, and the list of VMs.

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

void dispatcher::carryOut(const sched::action &next)
{
    std::visit(
        [this](const auto &one) {
            carryOut(one);
        },
        next);
}

void dispatcher::carryOut(const sched::start_run &order)
{
    start_order call{order.task, order.run, order.payload, order.leaseEndMs, m_term.term, order.checkpoint, order.ticket};
    const sched::order_target sentTo{order.address, order.startedUnixMs};
    m_executors.start({order.executor, order.address},
                      call,
                      [weak = weak_from_this(), task = order.task, run = order.run, executor = order.executor, sentTo](const order_result &result) {
                          if (const std::shared_ptr<dispatcher> self = weak.lock()) {
                              self->feed(sched::start_answered{task, run, executor, result.status, result.clockMs, result.startedUnixMs, sentTo});
                          }
                      });
}

void dispatcher::carryOut(const sched::stop_run &order)
{
    const sched::order_target sentTo{order.address, order.startedUnixMs};
    m_executors.stop({order.executor, order.address},
                     order.task,
                     order.run,
                     m_term.term,
                     [weak = weak_from_this(), task = order.task, run = order.run, executor = order.executor, sentTo](const order_result &result) {
                         if (const std::shared_ptr<dispatcher> self = weak.lock()) {
                             self->feed(sched::stop_answered{task, run, executor, result.status, sentTo, result.startedUnixMs});
                         }
                     });
}

void dispatcher::carryOut(const sched::throttle_run &order)
{
    m_executors.pace({order.executor, order.address}, order.task, order.run, order.percent, m_term.term, [](order_result) {
        // The next list shows the effect; a lost pace is ordered again then.
    });
}

void dispatcher::carryOut(const sched::poll_executor &order)
{
    const hold_order call{m_term.term, order.acknowledged, order.leaseEndMs, std::chrono::milliseconds(order.waitMs)};
    const sched::order_target sentTo{order.address, order.startedUnixMs};
    m_executors.hold(
        {order.executor, order.address}, call, [weak = weak_from_this(), executor = order.executor, sentAt = steadyMillis(), sentTo](hold_result result) {
            if (const std::shared_ptr<dispatcher> self = weak.lock()) {
                sched::poll_answered answer{executor, result.status, sentAt, result.clockMs, result.startedUnixMs, {}, {}, result.moreEnds, sentTo};
                answer.runs = std::move(result.runs);
                answer.ends = std::move(result.ends);
                self->feed(answer);
            }
        });
}

void dispatcher::carryOut(const sched::request_advice &order)
{
    if (!m_settings.advice) {
        return;
    }
    const std::string step = order.job + '.' + std::to_string(order.occurrence) + '.' + std::to_string(order.step);
    m_executors.advise(*m_settings.advice, step, order.executors, [weak = weak_from_this(), order](advice_result result) {
        if (const std::shared_ptr<dispatcher> self = weak.lock()) {
            self->feed(
                sched::advice_answered{order.job, order.occurrence, order.step, result.status, order.executors, std::move(result.tickets), result.validMs});
        }
    });
}

bool dispatcher::mayOrderFleet(const std::function<void(fleet_status)> &done)
{
    if (renewalIsFresh()) {
        return true;
    }
    m_services.later(std::chrono::milliseconds(1), [done] {
        done(fleet_status::Refused);
    });
    return false;
}

void dispatcher::carryOut(const sched::move_vm &order)
{
    const std::weak_ptr<dispatcher> weak = weak_from_this();
    const std::function<void(fleet_status)> done = [weak, order](fleet_status status) {
        if (const std::shared_ptr<dispatcher> self = weak.lock()) {
            self->feed(sched::move_answered{order.vm, order.pool, status, order.occupant});
        }
    };
    if (mayOrderFleet(done)) {
        m_services.fleet.move({m_term.node, m_term.term}, order.vm, order.pool, done);
    }
}

void dispatcher::carryOut(const sched::maintain_vm &order)
{
    const std::weak_ptr<dispatcher> weak = weak_from_this();
    const std::function<void(fleet_status)> done = [weak, order](fleet_status status) {
        if (const std::shared_ptr<dispatcher> self = weak.lock()) {
            self->feed(sched::maintenance_answered{order.vm, order.wave, status, order.occupant});
        }
    };
    if (mayOrderFleet(done)) {
        m_services.fleet.upkeep({m_term.node, m_term.term}, order.vm, order.wave, done);
    }
}

// Only jobs that have ended for good are named, so the deletion needs no condition and may be repeated, or come late.
void dispatcher::carryOut(const sched::delete_submissions &order)
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
        m_services.store.transact(transaction, holderCommitTimeout, [weak = weak_from_this(), jobs = part.second](const transact_result &result) {
            const std::shared_ptr<dispatcher> self = weak.lock();
            if (self && result.status == store_status::Ok) {
                self->feed(sched::submissions_deleted{jobs});
            }
        });
    }
}

void dispatcher::carryOut(const sched::publish_wave &order)
{
    const row_transaction write = waveStatusWrite(order.wave, order.completed);
    m_services.store.transact(write, holderCommitTimeout, [weak = weak_from_this(), order](const transact_result &result) {
        const std::shared_ptr<dispatcher> self = weak.lock();
        if (!self || waveStatusIsWritten(result.status)) {
            return;
        }
        self->m_services.later(holderReadRetry, [weak, order] {
            if (const std::shared_ptr<dispatcher> again = weak.lock()) {
                const std::lock_guard<std::mutex> guard(again->m_lock);
                if (!again->m_stopped) {
                    again->carryOut(order);
                }
            }
        });
    });
}

void dispatcher::carryOut(const sched::step_down &order)
{
    loseTerm(order.evidence);
}

void dispatcher::carryOut(const sched::log_event &note)
{
    std::vector<log_field> fields;
    fields.reserve(note.fields.size() + 1);
    for (const std::pair<std::string, std::string> &field : note.fields) {
        fields.emplace_back(field.first, field.second);
    }
    fields.emplace_back("term", m_term.term);
    logChange(note.event, fields);
}

void dispatcher::listVms(const std::string &page)
{
    m_services.fleet.list(page, [weak = weak_from_this()](const vm_page &answer) {
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
        m_listingVms = false;
        m_vmsListedAt = steadyMillis();
        m_services.metrics.findCounter("daisypass_vm_list_failures_total").add();
        return;
    }
    m_vmPages.insert(m_vmPages.end(), page.vms.begin(), page.vms.end());
    if (!page.nextPage.empty()) {
        listVms(page.nextPage);
        return;
    }
    m_listingVms = false;
    m_vmsListedAt = steadyMillis();
    m_scheduler.handle(sched::vms_listed{std::move(m_vmPages), m_vmsAskedAt}, m_vmsListedAt);
    m_vmPages.clear();
    readRegistryIfBehind();
    pump(guard);
}

// Answers feeds that hear nothing for a while: a VM that is up with an executor that nobody has announced.
void dispatcher::readRegistryIfBehind()
{
    if (m_readingRegistry || !m_scheduler.hasUnregisteredExecutor()) {
        return;
    }
    m_readingRegistry = true;
    readAllPages(m_services.store, {executorTable, "", "", ""}, holderReadTimeout, [weak = weak_from_this()](const rows_result &page, bool last) {
        const std::shared_ptr<dispatcher> self = weak.lock();
        return self && self->onRegistryPage(page, last);
    });
}

// After a page that can't be read the next list of VMs tells whether the registry is still behind.
bool dispatcher::onRegistryPage(const rows_result &page, bool last)
{
    std::unique_lock<std::mutex> guard(m_lock);
    m_readingRegistry = !last;
    if (m_stopped || page.status != store_status::Ok) {
        return false;
    }
    for (const store_row &row : page.rows) {
        onExecutorRow(row);
    }
    pump(guard);
    return true;
}

} // namespace daisypass
