#pragma once

// The messages that entries and controllers exchange, as plain structs. The wire form is src/net/proto/peer.proto.

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
    /** In messages: position in the sender's list; there the name may be left out. */
    int number = 0;

    bool operator==(const peer_pool_load &) const = default;
};

/**
 * The loads are sent only to a receiver that does not hold them: each side says with every message which version of the other's
 * loads it holds (0 for none). `pools` is present only if that differs from the sender's current version, and then has all pools with
 * names, or only the changed ones by number if the receiver knows the names.
 */
struct gossip_message
{
    /** Set only in calls and answers between a controller and an entry: empty in the former, the entry's id in the latter. */
    std::string entry;
    incarnation_number incarnation = 0;
    revision_number revision = 0;
    bool ready = false;
    /** Whether the sender reached the table service within the last 3 s. */
    bool storeReachable = false;
    /** Version of the sender's loads, from 1; grows with each change. */
    std::uint64_t loadsVersion = 0;
    /** Version of the receiver's loads that the sender holds. */
    std::uint64_t knownVersion = 0;
    std::optional<std::vector<peer_pool_load>> pools = {};
    /** In a call: the incarnation that is meant; `knownVersion` and `echo` are for it alone. */
    incarnation_number to = 0;
    /** In an answer: the answering entry's clock in ms, rounded down. */
    std::uint64_t stamp = 0;
    /** In a call: the stamp of the last answer, or 0. */
    std::uint64_t echo = 0;
};

/** A count of slots on a target. The receiver counts the validity from when it sent the request, so that transit time only shortens a loan. */
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

/** What became of a request; status, headers and body only if it completed or failed with an answer. */
struct fate_answer
{
    peer_fate fate = peer_fate::Unknown;
    /** Name of the refusal reason if the request was not run. */
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

/** Either records, or a snapshot if the records asked for are no longer held, or neither. */
struct log_page
{
    /** Encoded records in order, from the revision after the one asked for. */
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
