#pragma once

// What the scheduler is told and what it asks for.
//
// The scheduler does no I/O: its owner feeds it events with the time and carries out its actions in order.

#include "sched/model.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace daisypass::sched {

/** The answer to an order that was sent to an executor. */
enum class order_status {
    Ok,
    /** A higher fencing token was used there. */
    Fenced,
    /** The run, or a higher one of the task, has been stopped or has ended there. */
    StaleRun,
    /** The order's time on the executor's clock is over. */
    TooLate,
    InsufficientCapacity,
    /** The ticket of the advice is missing or no longer valid. */
    InvalidTicket,
    /** The executor is unhealthy or overloaded; it did nothing. */
    Unhealthy,
    /** Another executor lives at the address; nothing was done. */
    WrongExecutor,
    /** The executor doesn't understand the order. */
    Rejected,
    /** Not sent: no connection. */
    Unreachable,
    /** No whole answer: the order may have been carried out, or may be later. */
    Unknown,
};

/** The answer to an order that was sent to the fleet's service. */
enum class fleet_status {
    Ok,
    /** A higher fencing token was used for the VM. */
    Fenced,
    /** The VM is not up, or is leaving. */
    Busy,
    /** The VM does not belong to the wave. */
    NotInWave,
    /** No such VM, or a pool that it can't join. */
    Rejected,
    /** Too many calls, or the service is down; nothing was done. */
    Refused,
    /** The call may have been carried out. */
    Unknown,
};

std::string_view nameOf(order_status status);
std::string_view nameOf(fleet_status status);
std::string_view nameOf(run_end how);

/** One life of an executor; its birth is 0 if the registry hasn't told it. */
struct executor_incarnation
{
    std::string executor;
    std::int64_t startedUnixMs = 0;
};

/** Where an order was sent, and to which life as far as it was known; empty if the answer's owner doesn't say. */
struct order_target
{
    std::string address;
    std::int64_t startedUnixMs = 0;
};

// Events.

struct configuration_changed
{
    configuration_view view;
};

struct job_submitted
{
    job_spec job;
};

struct job_cancelled
{
    std::string job;
};

struct executor_entry_changed
{
    executor_entry entry;
    /** Version of the registry's row; versions rise with each change. */
    std::int64_t version = 0;
};

struct executor_entry_removed
{
    std::string executor;
    std::int64_t version = 0;
};

struct vms_listed
{
    std::vector<vm_entry> vms;
    /** When the list was asked for, if its owner says. */
    std::optional<time_ms> askedAt{};
};

struct wave_requested
{
    wave_request wave;
    std::int64_t unixMs = 0;
};

/** The submissions of these jobs are deleted for good. */
struct submissions_deleted
{
    std::vector<std::string> jobs;
};

/** A renewal of this term's lease is stored. */
struct lease_renewed
{
    /** When the call that stored it was sent, or an earlier time. */
    time_ms sentAt = 0;
};

/** The rows of a batch are stored. */
struct batch_committed
{
    std::int64_t batch = 0;
};

struct start_answered
{
    task_id task;
    int run = 0;
    std::string executor;
    order_status status = order_status::Unknown;
    /** Of the executor that answered. */
    std::optional<std::int64_t> clockMs;
    std::optional<std::int64_t> startedUnixMs{};
    order_target sentTo{};
};

struct stop_answered
{
    task_id task;
    int run = 0;
    std::string executor;
    order_status status = order_status::Unknown;
    order_target sentTo{};
    /** Of the executor that answered. */
    std::optional<std::int64_t> startedUnixMs{};
};

struct poll_answered
{
    std::string executor;
    order_status status = order_status::Unknown;
    /** When the order was sent. */
    time_ms sentAt = 0;
    std::optional<std::int64_t> clockMs;
    std::optional<std::int64_t> startedUnixMs;
    std::vector<listed_run> runs;
    std::vector<listed_end> ends;
    /** More ends may be waiting until these are acknowledged. */
    bool moreEnds = false;
    order_target sentTo{};
};

struct advice_answered
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    order_status status = order_status::Unknown;
    std::vector<std::string> asked;
    std::vector<std::pair<std::string, std::string>> tickets;
    std::int64_t validMs = 0;
};

struct move_answered
{
    std::string vm;
    std::string pool;
    fleet_status status = fleet_status::Unknown;
    /** The VM's executor when the move was ordered. */
    executor_incarnation occupant{};
};

struct maintenance_answered
{
    std::string vm;
    std::int64_t wave = 0;
    fleet_status status = fleet_status::Unknown;
    /** The VM's executor when the upkeep was ordered. */
    executor_incarnation occupant{};
};

struct tick
{
    std::int64_t unixMs = 0;
};

using event = std::variant<configuration_changed,
                           job_submitted,
                           job_cancelled,
                           submissions_deleted,
                           executor_entry_changed,
                           executor_entry_removed,
                           vms_listed,
                           wave_requested,
                           lease_renewed,
                           batch_committed,
                           start_answered,
                           stop_answered,
                           poll_answered,
                           advice_answered,
                           move_answered,
                           maintenance_answered,
                           tick>;

// Actions.

struct start_run
{
    task_id task;
    int run = 0;
    std::string executor;
    std::string address;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    /** On the executor's clock. */
    std::int64_t leaseEndMs = 0;
    /** The executor's birth as far as it is known. */
    std::int64_t startedUnixMs = 0;
};

struct stop_run
{
    task_id task;
    int run = 0;
    std::string executor;
    std::string address;
    std::int64_t startedUnixMs = 0;
};

struct throttle_run
{
    task_id task;
    int run = 0;
    std::string executor;
    std::string address;
    int percent = 100;
};

struct poll_executor
{
    std::string executor;
    std::string address;
    std::int64_t acknowledged = 0;
    /** On the executor's clock; without it the lease is not extended. */
    std::optional<std::int64_t> leaseEndMs;
    std::int64_t waitMs = 0;
    std::int64_t startedUnixMs = 0;
};

struct request_advice
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    std::vector<std::string> executors;
};

struct move_vm
{
    std::string vm;
    std::string pool;
    executor_incarnation occupant{};
};

struct maintain_vm
{
    std::string vm;
    std::int64_t wave = 0;
    executor_incarnation occupant{};
};

/** Delete the submissions of jobs that ended long ago. */
struct delete_submissions
{
    std::vector<std::string> jobs;
};

/** Tell the operator about a wave. */
struct publish_wave
{
    std::int64_t wave = 0;
    bool completed = false;
};

/** Another holder of the lease gave orders: stop scheduling. */
struct step_down
{
    std::string evidence;
};

/** Names and values of a log line. */
using log_fields = std::vector<std::pair<std::string, std::string>>;

/** A decision or a change of belief, for the log. */
struct log_event
{
    std::string event;
    log_fields fields;
};

using action = std::
    variant<start_run, stop_run, throttle_run, poll_executor, request_advice, move_vm, maintain_vm, delete_submissions, publish_wave, step_down, log_event>;

/** Rows to store in one transaction, before anything that they record is done. */
struct commit_batch
{
    std::int64_t number = 0;
    /** Key and value; all in the scheduler's own table. */
    std::vector<std::pair<std::string, std::string>> rows;
    std::vector<std::string> deletedKeys;
};

} // namespace daisypass::sched
