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

    /** Recomputes the slots that this entry may use. */
    void updateSlotUse();
    /** Number of the team; assigns the next number to a new name. */
    std::uint32_t teamNumber(const std::string &name);
    /** Whether some target of the view, or the configured VM size if the view is empty, is large enough. */
    bool fitsAnyTarget(const machine_size &needs) const;
    bool canRetryElsewhere(const request_record &request) const;
    /** Random duration from zero to `limit`. */
    duration jitter(duration limit);
    /** Retry-After for a request that would have had to wait this long. */
    duration retryAfter(duration wait);

    /** Both return the refusal of a new request, or nothing if it is admitted. */
    std::optional<refuse> checkAdmission(const request_info &info, std::uint32_t team, std::uint32_t runClass);
    std::optional<refuse> checkOverload(const request_info &info, std::uint32_t team, std::uint32_t runClass);
    /** Adds a request to, or removes it from, the queue or the list of retrying requests, depending on its phase. */
    void addWaiting(request_index index);
    void removeWaiting(request_index index);
    /** Ends a request that is queued or waits for a retry. */
    void refuseWaiting(request_index index, refusal_reason reason);
    void expireDeadlines();

    /** Free owned slots of targets that are not ejected. */
    int lendable() const;
    /** The target for the request's next attempt, or noTarget if it has to wait. */
    target_index chooseTarget(const request_record &request);
    void startAttempt(request_index index, target_index target);
    void endAttempt(request_index index);
    void dispatchRetries();
    void dispatchQueued();
    /** Moves running requests to the band of their elapsed time, and updates the demand of shorter work. */
    void updateRunningBands();
    void recordOutcome(target_index target, attempt_outcome outcome);
    void retryOrFinish(request_index index, attempt_outcome outcome);
    /** Answers the pending slot request, then borrows slots for queued requests or returns unused loans. */
    void lendAndBorrow();

    pool_config config;
    std::string self;
    bool isolated = false;
    timestamp now{};
    /** Where the current handle() appends actions; null outside of it. */
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
    /** Requests by team number that are queued or wait for a retry. */
    std::vector<int> queuedByTeam;
    std::vector<request_index> retrying;
    std::vector<request_index> running;
    /** Buffers that are reused between calls. */
    std::vector<request_index> dueRequests;
    std::vector<target_index> candidates;
    /** A peer's request that lendAndBorrow() has to answer. */
    std::optional<slots_requested> pendingSlotRequest;
    timestamp nextBandUpdate{};
    /** Since when there have been queued requests without interruption. */
    std::optional<timestamp> queueNonEmptySince;
    /** Requests that are queued or wait for a retry. */
    int queuedCount = 0;
    /** Entries among which the pool's slots are divided, this one included. */
    int ownerCount = 1;
};

} // namespace daisypass
