#pragma once

// Events that the scheduler handles, and actions that it asks its owner to carry out.
//
//     scheduler.handle(job_submitted{spec}, now);
//     for (const action &next : scheduler.takeActions()) { ... send the order or write the log line ... }
//
// The scheduler does no I/O: its owner feeds it events with the current time and carries out its actions in order.

#include "sched/model.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace daisypass::sched {

/** Result of an order to an executor. */
enum class order_status {
    Ok,
    /** The executor has accepted a higher fencing token. */
    Fenced,
    /** This run, or one of the task with a higher number, has been stopped or has ended on the executor. */
    StaleRun,
    /** The order's deadline on the executor's clock has passed. */
    TooLate,
    InsufficientCapacity,
    /** The advice ticket is missing or has expired. */
    InvalidTicket,
    /** The executor is unhealthy or overloaded; the order was not carried out. */
    Unhealthy,
    /** A different executor answers at the address; the order was not carried out. */
    WrongExecutor,
    /** The executor could not parse the order. */
    Rejected,
    /** The order was not sent because no connection could be opened. */
    Unreachable,
    /** No complete answer was received: the order may have been carried out, or may still be. */
    Unknown,
};

/** Result of an order to the fleet service. */
enum class fleet_status {
    Ok,
    /** The fleet service has accepted a higher fencing token for the VM. */
    Fenced,
    /** The VM is not up, or is about to leave. */
    Busy,
    /** The VM does not belong to the wave. */
    NotInWave,
    /** The VM does not exist, or can't join the pool. */
    Rejected,
    /** The order was not carried out: the rate limit is exceeded, the service is down, or the last lease renewal is too old. */
    Refused,
    /** The order may have been carried out, or may still be. */
    Unknown,
};

std::string_view nameOf(order_status status);
std::string_view nameOf(fleet_status status);
std::string_view nameOf(run_end how);

/** One incarnation of an executor. Its start time is 0 if not known. */
struct executor_incarnation
{
    std::string executor;
    std::int64_t startedUnixMs = 0;
};

/** The address and the incarnation that an order was sent to, as known at that time; empty if the sender doesn't report them. */
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

/** The job was cancelled before it was known: its submission can't be stored any more. */
struct submission_barred
{
    std::string job;
};

struct executor_entry_changed
{
    executor_entry entry;
    /** Version of the registry's row; it increases with each change. */
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
    /** When the list was requested; empty if the sender doesn't report it. */
    std::optional<time_ms> askedAt{};
};

struct wave_requested
{
    wave_request wave;
    std::int64_t unixMs = 0;
};

/** The submissions of these jobs have been deleted from the store. */
struct submissions_deleted
{
    std::vector<std::string> jobs;
};

/** A renewal of this term's leadership lease has been stored. */
struct lease_renewed
{
    /** When the call that stored it was sent, or an earlier time. */
    time_ms sentAt = 0;
};

/** The rows of a batch have been stored, but for those that the store refuses for good. */
struct batch_committed
{
    std::int64_t batch = 0;
    std::vector<std::string> refusedKeys{};
};

struct start_answered
{
    task_id task;
    int run = 0;
    std::string executor;
    order_status status = order_status::Unknown;
    /** Clock and start time of the executor that answered. */
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
    /** Start time of the executor that answered. */
    std::optional<std::int64_t> startedUnixMs{};
};

/** An executor's answer to a poll: its runs, and the ends that have not been acknowledged. */
struct poll_answered
{
    std::string executor;
    order_status status = order_status::Unknown;
    /** When the poll was sent. */
    time_ms sentAt = 0;
    std::optional<std::int64_t> clockMs;
    std::optional<std::int64_t> startedUnixMs;
    std::vector<listed_run> runs;
    std::vector<listed_end> ends;
    /** The list of ends is truncated; the executor sends more after these are acknowledged. */
    bool moreEnds = false;
    order_target sentTo{};
};

/** The advice service's answer: the executors that it was asked about, and a ticket for each that may run the step. */
struct advice_answered
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    order_status status = order_status::Unknown;
    std::vector<std::string> asked;
    std::vector<std::pair<std::string, std::string>> tickets;
    /** How long the tickets are valid; 0 if the service doesn't say. */
    std::int64_t validMs = 0;
    /** The number of the request. */
    std::int64_t call = 0;
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
    /** The VM's executor when the maintenance was ordered. */
    executor_incarnation occupant{};
};

struct tick
{
    std::int64_t unixMs = 0;
};

using event = std::variant<configuration_changed,
                           job_submitted,
                           job_cancelled,
                           submission_barred,
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
    /** End of the run's lease on the executor's clock. */
    std::int64_t leaseEndMs = 0;
    /** Start time of the intended incarnation; 0 if unknown. */
    std::int64_t startedUnixMs = 0;
    /** See executor_record::restarts. */
    int restarts = 0;
};

struct stop_run
{
    task_id task;
    int run = 0;
    std::string executor;
    std::string address;
    std::int64_t startedUnixMs = 0;
    int restarts = 0;
};

/** Limits a best-effort run to a share of its usual speed. */
struct throttle_run
{
    task_id task;
    int run = 0;
    std::string executor;
    std::string address;
    int percent = 100;
    int restarts = 0;
};

/** A long poll: lists an executor's runs and ends, acknowledges earlier ends, and extends the leases of its runs. */
struct poll_executor
{
    std::string executor;
    std::string address;
    /** Number of the last end that may be discarded; 0 acknowledges none. */
    std::int64_t acknowledged = 0;
    /** New end of the runs' leases on the executor's clock; empty leaves the leases unchanged. */
    std::optional<std::int64_t> leaseEndMs;
    /** How long the executor may delay its answer while no run ends. */
    std::int64_t waitMs = 0;
    std::int64_t startedUnixMs = 0;
    int restarts = 0;
};

/** Asks the advice service which of the executors may run the step. */
struct request_advice
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    std::vector<std::string> executors;
    /** Identifies the request in the scheduler's term. */
    std::int64_t call = 0;
    /** How long to wait for the answer. */
    std::int64_t waitMs = 0;
};

struct move_vm
{
    std::string vm;
    std::string pool;
    executor_incarnation occupant{};
};

/** Takes the VM down for its maintenance in the wave. */
struct maintain_vm
{
    std::string vm;
    std::int64_t wave = 0;
    executor_incarnation occupant{};
};

/** Deletes the submissions of jobs whose retention time has passed. */
struct delete_submissions
{
    std::vector<std::string> jobs;
};

/** Publishes the state of a wave to the operator. */
struct publish_wave
{
    std::int64_t wave = 0;
    bool completed = false;
};

/** A later lease holder has issued orders with a higher fencing token: stop scheduling. */
struct step_down
{
    /** The order that was fenced. */
    std::string evidence;
};

/** Field names and values of a log line. */
using log_fields = std::vector<std::pair<std::string, std::string>>;

/** A log line about a decision or a state change. */
struct log_event
{
    std::string event;
    log_fields fields;
};

using action = std::
    variant<start_run, stop_run, throttle_run, poll_executor, request_advice, move_vm, maintain_vm, delete_submissions, publish_wave, step_down, log_event>;

/** Rows to store in one transaction. They are stored before the orders that they record are sent. */
struct commit_batch
{
    std::int64_t number = 0;
    /** Keys and values in the scheduler's own table. */
    std::vector<std::pair<std::string, std::string>> rows;
    std::vector<std::string> deletedKeys;
};

} // namespace daisypass::sched
