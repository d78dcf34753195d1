#pragma once

// The state of a pool_scheduler; private to pool_scheduler.cpp (events and admission) and pool_dispatch.cpp (dispatch, retries and loans).

#include "kernel/band_queues.h"
#include "kernel/deadline_wheel.h"
#include "kernel/loan_reserves.h"
#include "kernel/pool_scheduler.h"
#include "kernel/request_table.h"
#include "kernel/retry_budget.h"
#include "kernel/run_time_model.h"
#include "kernel/slot_borrower.h"
#include "kernel/slot_ledger.h"
#include "kernel/target_health.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace daisypass {

/** Whether a request fits into a VM. A VM whose size was not declared accepts everything. */
bool fitsInto(const machine_size &needs, const machine_size &size);

struct pool_scheduler::state
{
    state(const pool_config &initial, std::uint64_t seed, std::string_view slotPolicy);

    void handle(const request_arrived &event);
    void handle(const request_cancelled &event);
    void handle(const target_answered &event);
    void handle(const view_changed &event);
    void handle(const peer_load &event);
    void handle(const slots_granted &event);
    void handle(const slots_requested &event);
    void handle(const slots_returned &event);
    void handle(const tick &event);

    void refreshUse();
    std::uint32_t teamNumber(const std::string &name);
    bool runnableAnywhere(const machine_size &needs) const;
    bool retriableElsewhere(const request_record &request) const;
    duration jitter(duration most);
    duration retryAfter(duration wait);

    /** Both return the reason to refuse the new request, or nothing. */
    std::optional<refuse> refusalOf(const request_info &info, std::uint32_t team, std::uint32_t runClass);
    std::optional<refuse> overload(const request_info &info, std::uint32_t team, std::uint32_t runClass);
    void enter(request_index index);
    void leave(request_index index);
    void drop(request_index index, refusal_reason reason);
    void expireDeadlines();

    /** Free owned slots of targets that are not ejected. */
    int lendable() const;
    target_index chooseTarget(const request_record &request);
    void start(request_index index, target_index target);
    void stop(request_index index);
    void dispatchRetries();
    void dispatchQueued();
    void rebandRunning();
    void noteOutcome(target_index target, attempt_outcome outcome);
    void retryOrFinish(request_index index, attempt_outcome outcome);
    void lendAndBorrow();

    pool_config config;
    std::string self;
    bool isolated = false;
    timestamp now{};
    std::vector<scheduler_action> *actions = nullptr;

    std::mt19937_64 random;
    run_time_model model;
    request_table requests;
    slot_ledger ledger;
    slot_borrower borrower;
    loan_reserves reserves;
    target_health health;
    band_queues queues;
    deadline_wheel deadlines;
    retry_budget budget;
    slot_use use;
    std::map<std::string, std::uint32_t, std::less<>> teams;
    std::vector<double> weights;
    std::vector<int> queuedByTeam;
    std::vector<request_index> retrying;
    std::vector<request_index> running;
    std::vector<request_index> due;
    std::vector<target_index> candidates;
    std::optional<slots_requested> question;
    timestamp rebandAt{};
    /** Since when the queue has not been empty. */
    std::optional<timestamp> waitingSince;
    int queuedCount = 0;
    int ownerCount = 1;
};

} // namespace daisypass
