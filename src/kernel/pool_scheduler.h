#pragma once

// Decides which request runs on which target and when, for one pool in one entry.
//
//     pool_scheduler scheduler(config, seed);
//     std::vector<scheduler_action> actions;
//     scheduler.handle(request_arrived{info}, now, actions);
//     for (const scheduler_action &action : actions) { ... }
//
// The scheduler receives events together with the time and returns actions; it has no clock, thread or socket.
// Every request_arrived is eventually followed by exactly one refuse or finish. A cancelled request ends with refuse (Cancelled) if it was queued and with
// finish (Unknown) if it was running; later events for it are ignored.
// The class isn't thread-safe: the caller serialises the calls, with one lock per scheduler. Each event costs O(log n) in the number of queued requests or
// less, a cancellation O(1).

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

/** A target in the entry's view of the fleet. The view contains only targets that may receive new work. */
struct target_view
{
    std::string vm;
    /** Entry that owns the target's slots. */
    std::string owner;
    machine_size size;
    /** When the target returned to service. Its usable slots ramp up from then on; zero means that the ramp is over. */
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
    /** Name of this entry. */
    std::string self;
    std::vector<target_view> targets;
    pool_config config;
    std::vector<team_config> teams;
    /** The entry has lost contact with the store and its peers, so it must not dispatch new requests. */
    bool isolated = false;
    /** Names of all live entries. The slot policy `static-shares` requires them. For the other policies only their number counts, or
     * that of this entry and the owners in `targets` if it is greater. */
    std::vector<std::string> entries = {};
};

/** Number of requests in flight on a target. */
struct target_load
{
    std::string vm;
    int count = 0;
};

/** A peer's load in this pool, from its last gossip message. */
struct peer_load
{
    std::string peer;
    int queued = 0;
    int freeSlots = 0;
    /** The peer's reportedLoad(). Without it the owner of a target learns of these requests only when the target refuses one of the owner's requests. Always
     * empty in daisypass-entry, whose gossip messages do not contain it. */
    std::vector<target_load> running = {};
};

/** Slots of one target that an owner lends until `expires`. */
struct slot_grant
{
    std::string vm;
    int count = 0;
    timestamp expires{};
};

/** A peer answered borrow_slots; an empty list means that it had no slot to lend. */
struct slots_granted
{
    std::string peer;
    std::vector<slot_grant> grants;
};

/** A peer requests slots of targets that this entry owns; answered by lend_slots. */
struct slots_requested
{
    std::string peer;
    int count = 0;
};

/** A peer returned borrowed slots before they expired. */
struct slots_returned
{
    std::string peer;
    std::vector<slot_grant> grants;
};

/** Advances the timers for deadlines, loan expiry, ejections and retries. Send it at least every 10 ms while requests are queued and every 100 ms otherwise. */
struct tick
{
};

using scheduler_event
    = std::variant<request_arrived, request_cancelled, target_answered, view_changed, peer_load, slots_granted, slots_requested, slots_returned, tick>;

/** Send the request to the VM. */
struct dispatch
{
    request_number request = 0;
    std::string vm;
};

/** The request ends without having been run. */
struct refuse
{
    request_number request = 0;
    refusal_reason reason = refusal_reason::Overloaded;
    /** Time after which a retry may succeed; zero if retrying does not help. */
    duration retryAfter{};
};

/** The request ends with the outcome of its last attempt, or with Unknown if it was cancelled while running. */
struct finish
{
    request_number request = 0;
    attempt_outcome outcome = attempt_outcome::Completed;
};

/** Request slots from a peer; answered by slots_granted. */
struct borrow_slots
{
    std::string peer;
    int count = 0;
};

/** Answers slots_requested, in the same call of handle(). */
struct lend_slots
{
    std::string peer;
    std::vector<slot_grant> grants;
};

/** Return borrowed slots to the peer that lent them. */
struct return_slots
{
    std::string peer;
    std::vector<slot_grant> grants;
};

/** The target receives no requests for the cool-down. */
struct target_ejected
{
    std::string vm;
    duration coolDown{};
};

/** A request on an ejected target succeeded, usually the probe, and the target receives requests again. */
struct target_restored
{
    std::string vm;
};

using scheduler_action = std::variant<dispatch, refuse, finish, borrow_slots, lend_slots, return_slots, target_ejected, target_restored>;

class pool_scheduler
{
public:
    /** `slotPolicy` is the name of a registered slot policy; "lend" is used if the name is unknown. */
    pool_scheduler(const pool_config &config, std::uint64_t seed, std::string_view slotPolicy = "lend");
    ~pool_scheduler();
    pool_scheduler(pool_scheduler &&) noexcept;
    pool_scheduler &operator=(pool_scheduler &&) noexcept;

    /** Handles one event and appends the resulting actions in order. */
    void handle(const scheduler_event &event, timestamp now, std::vector<scheduler_action> &actions);

    /** Number of requests that are queued or wait for a retry. */
    int queued() const;
    /** Number of requests in flight on targets. */
    int running() const;
    /** Number of this entry's requests in flight on the VM. A drain may be confirmed only when it is 0. */
    int runningOn(std::string_view vm) const;
    /** Number of free slots of owned targets, as reported to peers; 0 while isolated. */
    int freeSlots() const;
    /** Load to report to peers: long requests on targets that other entries own, because they outlive their loans. With a slot policy that does not lend, such
     * as `refusal-only`, all requests in flight. */
    std::vector<target_load> reportedLoad() const;

private:
    struct state;

    std::unique_ptr<state> m_state;
};

/** Returns the entry that owns a target: the one with the highest hash of (entry, target). If an entry joins or leaves, only the targets that it gains or
 * loses change their owner (rendezvous hashing, Thaler and Ravishankar 1998). */
std::string_view rendezvousOwner(std::span<const std::string> entries, std::string_view target);

} // namespace daisypass
