#pragma once

// Decides, for one pool in one entry, which request runs on which target and when.
//
//     pool_scheduler scheduler(config, seed);
//     std::vector<scheduler_action> actions;
//     scheduler.handle(request_arrived{info}, now, actions);
//     for (const scheduler_action &action : actions) { ... }
//
// The scheduler is fed events with the time and returns actions; it keeps no clock, thread or socket.
// Every request_arrived is answered by exactly one refuse or finish in the end, also after request_cancelled: a cancelled request that was queued ends with
// refuse (Cancelled), one that was running with finish (Unknown), and later events for it are ignored.
// The caller holds one lock per scheduler. Cost per event: O(log n) in queued requests or better; cancellation O(1).

#include "base/time.h"
#include "kernel/configuration.h"
#include "kernel/request.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisypass {

/** A target as the entry's view of the fleet shows it. Targets that may receive no new work are absent from the view. */
struct target_view
{
    std::string vm;
    /** Entry that owns the target's slots. */
    std::string owner;
    machine_size size;
    /** When the target came back into service; its slots ramp up from here. Zero means long ago. */
    timestamp servingSince{};
};

struct request_arrived
{
    request_info request;
};

struct request_cancelled
{
    request_number request = 0;
};

struct target_answered
{
    request_number request = 0;
    attempt_outcome outcome = attempt_outcome::Completed;
    duration runTime{};
};

/** The fleet, the live entries or the pool's configuration changed. */
struct view_changed
{
    std::string self;
    std::vector<target_view> targets;
    pool_config config;
    std::vector<team_config> teams;
    /** No contact with store or peers: nothing new may be dispatched. */
    bool isolated = false;
    /** All live entries; needed by the slot policy `static-shares` only. */
    std::vector<std::string> entries = {};
};

struct target_load
{
    std::string vm;
    int count = 0;
};

/** What a peer told about this pool in its last gossip message. */
struct peer_load
{
    std::string peer;
    int queued = 0;
    int freeSlots = 0;
    /** The peer's reportedLoad(). Without it the owner learns of such requests from the target's refusals. */
    std::vector<target_load> running = {};
};

struct slot_grant
{
    std::string vm;
    int count = 0;
    timestamp expires{};
};

/** A peer answered borrow_slots; an empty grant means that it had none. */
struct slots_granted
{
    std::string peer;
    std::vector<slot_grant> grants;
};

/** A peer asks for slots of targets that this entry owns; answered by lend_slots. */
struct slots_requested
{
    std::string peer;
    int count = 0;
};

struct slots_returned
{
    std::string peer;
    std::vector<slot_grant> grants;
};

/** Timers: deadlines, loan expiry, ejection and retry delays. Send at least every 10 ms while requests are queued, every 100 ms otherwise. */
struct tick
{
};

using scheduler_event
    = std::variant<request_arrived, request_cancelled, target_answered, view_changed, peer_load, slots_granted, slots_requested, slots_returned, tick>;

struct dispatch
{
    request_number request = 0;
    std::string vm;
};

struct refuse
{
    request_number request = 0;
    refusal_reason reason = refusal_reason::Overloaded;
    /** When a new try may succeed; zero if no retry helps. */
    duration retryAfter{};
};

/** The attempt's outcome is the request's final outcome; sent after target_answered when no retry follows. */
struct finish
{
    request_number request = 0;
    attempt_outcome outcome = attempt_outcome::Completed;
};

struct borrow_slots
{
    std::string peer;
    int count = 0;
};

/** Answer to slots_requested, given in the same call. */
struct lend_slots
{
    std::string peer;
    std::vector<slot_grant> grants;
};

struct return_slots
{
    std::string peer;
    std::vector<slot_grant> grants;
};

struct target_ejected
{
    std::string vm;
    duration coolDown{};
};

struct target_restored
{
    std::string vm;
};

using scheduler_action = std::variant<dispatch, refuse, finish, borrow_slots, lend_slots, return_slots, target_ejected, target_restored>;

class pool_scheduler
{
public:
    /** `slotPolicy` is the name of a registered slot policy; an unknown name means "lend". */
    pool_scheduler(const pool_config &config, std::uint64_t seed, std::string_view slotPolicy = "lend");
    ~pool_scheduler();
    pool_scheduler(pool_scheduler &&) noexcept;
    pool_scheduler &operator=(pool_scheduler &&) noexcept;

    /** Handles one event and appends the actions that follow from it, in order. */
    void handle(const scheduler_event &event, timestamp now, std::vector<scheduler_action> &actions);

    int queued() const;
    int running() const;
    /** Requests of this entry in flight on the VM; 0 is needed before a drain is confirmed. */
    int runningOn(std::string_view vm) const;
    /** Free slots of owned targets, as told to peers. */
    int freeSlots() const;
    /** What peers should know about targets: long requests on targets that others own, since they outlive loans. With the slot policy `refusal-only`: all
     * requests. */
    std::vector<target_load> reportedLoad() const;

private:
    struct state;

    std::unique_ptr<state> m_state;
};

/** The entry that owns a target: the highest hash of (entry, target) wins, so a change of one entry moves only its own targets. Source: rendezvous hashing,
 * Thaler and Ravishankar 1998. */
std::string_view rendezvousOwner(std::span<const std::string> entries, std::string_view target);

} // namespace daisypass
