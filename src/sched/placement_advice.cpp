// Placement of steps whose queue requires advice: tasks start only on executors for which the queue's advice service has given a ticket.

#include "sched/placement_pass.h"

#include <utility>

namespace daisypass::sched {
namespace {

// Minimum remaining validity of a ticket, so that it is still valid when the start order arrives.
constexpr time_ms minTicketValidityMs = 300;

advice_outcome outcomeOf(order_status answer)
{
    switch (answer) {
    case order_status::Ok:
        return advice_outcome::Answered;
    case order_status::Unreachable:
    case order_status::Unknown:
        return advice_outcome::Lost;
    default:
        return advice_outcome::Refused;
    }
}

} // namespace

bool scheduler::placement_pass::requiresAdvice(const job_record &job) const
{
    const queue_terms *terms = owner.termsOf(job);
    return terms != nullptr && terms->requiresAdvice;
}

// Executors with a valid ticket for the step; requests more advice if there are too few.
placement_candidates scheduler::placement_pass::candidatesWithTicket(ready_step &ready, const placement_candidates &candidates)
{
    step_record &record = ready.occurrence->steps[static_cast<std::size_t>(ready.step)];
    const step_spec &stepSpec = ready.job->spec.steps[static_cast<std::size_t>(ready.step)];
    const std::map<std::string, int> here = tasksByExecutor(ready, stepSpec);
    placement_candidates withTicket;
    int tickets = 0;
    std::vector<std::string> unknown;
    for (executor_record *executor : candidates.executors()) {
        const bool hasRoom = executor->probation.empty() && allowed(stepSpec, stepSpec.countedDemand(), *executor, here);
        const auto ticket = record.tickets.find(executor->entry.id);
        if (ticket != record.tickets.end() && ticket->second.validUntil > now + minTicketValidityMs) {
            withTicket.add(*executor);
            tickets += hasRoom ? 1 : 0;
        } else if (hasRoom && !record.advisedAgainst.contains(executor->entry.id)) {
            unknown.push_back(executor->entry.id);
        }
    }
    withTicket.sort();
    if (tickets < record.waiting && !unknown.empty()) {
        requestAdvice(ready, record, std::move(unknown));
    }
    return withTicket;
}

// The steps come in the order in which they are placed, so those that are nearest their turn ask first.
void scheduler::placement_pass::requestAdvice(const ready_step &ready, step_record &record, std::vector<std::string> executors)
{
    if (record.adviceCall != 0 || record.adviceRetryAt > now) {
        return;
    }
    if (!owner.m_adviceCalls.mayAsk()) {
        owner.m_adviceWaits = true;
        return;
    }
    const queue_config *queue = owner.queueOf(*ready.job);
    const advice_cost cost = queue == nullptr ? advice_cost{} : queue->adviceCost;
    const std::size_t most = advice_calls::executorsPerCall(cost, adviceWaited);
    if (executors.size() > most) {
        executors.resize(most);
    }
    const task_id firstTask{ready.job->spec.id, ready.occurrence->number, ready.step, 0};
    record.adviceCall = owner.m_adviceCalls.add(firstTask, cost, executors.size(), now);
    ++owner.m_counts.adviceCalls;
    owner.m_actions.push_back(
        request_advice{firstTask.job, firstTask.occurrence, firstTask.step, std::move(executors), record.adviceCall, adviceAnswerLimitMs});
}

// A step whose call is overdue may ask again; the answer is still used if it comes.
void scheduler::handleOverdueAdvice(time_ms now)
{
    for (const overdue_advice &call : m_adviceCalls.takeOverdue(now)) {
        ++m_counts.adviceOverdue;
        logEvent("advice_overdue",
                 {{"request", call.step.job},
                  {"step", std::to_string(call.step.step)},
                  {"call", std::to_string(call.number)},
                  {"window", std::to_string(m_adviceCalls.window())}});
        if (taskOf(call.step) == nullptr) {
            continue;
        }
        step_record &record = m_jobs.at(call.step.job)->occurrences.at(call.step.occurrence).steps[static_cast<std::size_t>(call.step.step)];
        if (record.adviceCall == call.number) {
            record.adviceCall = 0;
        }
        m_placementPending = true;
    }
}

void scheduler::on(const advice_answered &what, time_ms now)
{
    m_adviceCalls.settle(what.call, outcomeOf(what.status), now);
    m_placementPending = true;
    const auto found = m_jobs.find(what.job);
    task_record *task = found == m_jobs.end() ? nullptr : found->second->find({what.job, what.occurrence, what.step, 0});
    if (task == nullptr) {
        return;
    }
    step_record &record = found->second->occurrences.at(what.occurrence).steps[static_cast<std::size_t>(what.step)];
    // The answer to an overdue call counts, but the step may have a later call under way.
    if (record.adviceCall == what.call) {
        record.adviceCall = 0;
    }
    if (what.status != order_status::Ok) {
        constexpr time_ms adviceRetryMs = 400;
        record.adviceRetryAt = now + adviceRetryMs;
        logEvent("advice_refused", {{"request", what.job}, {"step", std::to_string(what.step)}, {"reason", std::string(nameOf(what.status))}});
        return;
    }
    const queue_terms *terms = termsOf(*found->second);
    const std::int64_t validMs = what.validMs > 0 ? what.validMs : (terms == nullptr ? 0 : terms->adviceValidMs);
    record.advisedAgainst.insert(what.asked.begin(), what.asked.end());
    for (const std::pair<std::string, std::string> &ticket : what.tickets) {
        record.advisedAgainst.erase(ticket.first);
        record.tickets[ticket.first] = {ticket.second, now + validMs};
    }
}

} // namespace daisypass::sched
