#pragma once

// The messages that entries and controllers exchange, as plain structs. The wire format is defined in src/net/proto/peer.proto.

#include "kernel/fleet_change.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace daisypass {

/** An entry's load in one pool. */
struct peer_pool_load
{
    std::string pool;
    int queued = 0;
    int freeSlots = 0;
    int running = 0;
    /** Targets of the pool that the sender cannot reach. */
    std::vector<std::string> unreachable = {};
    /** Index of the pool in the sender's list, used in messages only. The receiver can identify the pool by it if the name is left out. */
    int number = 0;

    bool operator==(const peer_pool_load &) const = default;
};

/**
 * A sender's state and pool loads. Loads are sent only when the receiver does not have the current version: every message states
 * which version of the other side's loads its sender has (0 for none). A sender includes `pools` only if the receiver has stated another
 * version than the current one. `pools` then lists all pools with names, or only the changed pools by number if the receiver knows the names.
 */
struct gossip_message
{
    /** Used only between a controller and an entry: empty in the controller's call, the entry's id in the entry's answer. */
    std::string entry;
    incarnation_number incarnation = 0;
    revision_number revision = 0;
    bool ready = false;
    /** Whether the sender reached the table service within the last 3 s. */
    bool storeReachable = false;
    /** Version of the sender's loads. Starts at 1 and increases with each change. */
    std::uint64_t loadsVersion = 0;
    /** Version of the receiver's loads that the sender has. */
    std::uint64_t knownVersion = 0;
    std::optional<std::vector<peer_pool_load>> pools = {};
    /** In a call: the incarnation that is addressed. Any other incarnation ignores `knownVersion` and `echo`. */
    incarnation_number to = 0;
    /** In an answer: time of the answering entry's clock in ms, rounded down. */
    std::uint64_t stamp = 0;
    /** In a call: the `stamp` of the last answer that the sender received from the receiver, or 0. */
    std::uint64_t echo = 0;
};

/**
 * A number of slots on a target, lent or returned. The borrower counts the validity from when it sent the request, so that transit time can
 * only shorten the loan.
 */
struct peer_grant
{
    std::string vm;
    int count = 0;
    std::uint32_t expiresInMs = 0;

    bool operator==(const peer_grant &) const = default;
};

struct borrow_call
{
    std::string entry;
    incarnation_number incarnation = 0;
    std::string pool;
    int count = 0;
};

struct return_call
{
    std::string entry;
    incarnation_number incarnation = 0;
    std::string pool;
    std::vector<peer_grant> grants;
};

enum class peer_fate {
    Unknown,
    Pending,
    Running,
    Completed,
    Failed,
    NotRun,
    Expired,
};

struct peer_header
{
    std::string name;
    std::string value;

    bool operator==(const peer_header &) const = default;
};

/** The state or outcome of a request. Status, headers and body are those of the target's response and set only if the request completed. */
struct fate_answer
{
    peer_fate fate = peer_fate::Unknown;
    /** For a request that was not run, the name of its refusal_reason. Otherwise a short code such as "target_failed", or empty. */
    std::string reason;
    int status = 0;
    std::vector<peer_header> headers = {};
    std::string body = {};
};

struct cancel_answer
{
    bool inTime = false;
    fate_answer fate;
};

/** Records, or a snapshot if the requested records are no longer available, or neither. */
struct log_page
{
    /** Encoded records in revision order, starting after the requested revision. */
    std::vector<std::string> records;
    std::string snapshot = {};
};

struct drain_question
{
    std::string vm;
    std::uint64_t epoch = 0;
    revision_number revision = 0;
};

struct drain_answer
{
    std::string entry;
    incarnation_number incarnation = 0;
    /** Set only if the entry has replayed the drain and has nothing in flight on the VM. */
    bool confirmed = false;
    int inFlight = 0;
    revision_number revision = 0;
};

} // namespace daisypass
