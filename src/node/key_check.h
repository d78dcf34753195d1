#pragma once

// Decides on a call by the key that it carries, without a network.
//
//     const key_knowledge knowledge{lease.mayAdmit(now), lease.mayRefuse(now)};       // before the configuration is taken
//     const key_decision decision = decideOnKey(queue, keysRequired, keys, key, knowledge);

#include "node/tenant_keys.h"
#include "sched/model.h"

#include <optional>
#include <string>
#include <string_view>

namespace daisypass {

enum class key_verdict {
    /** The call is let through. */
    Admitted,
    /** The call carries no key. */
    Missing,
    /** No tenant has the key. */
    Unknown,
    /** The configuration may have changed since this node read it, so another node must decide. */
    NotFresh,
};

/** The reason that a refusal's log line and counter have. */
std::string_view reasonOf(key_verdict verdict);

/** What this node's knowledge of the keys is good for (node/key_lease.h). */
struct key_knowledge
{
    bool mayAdmit = true;
    bool mayRefuse = true;
};

struct key_decision
{
    key_verdict verdict = key_verdict::Admitted;
    /** The tenant of a call that is let through; empty if the queue needs no key. */
    std::string tenant;
};

/** `key` is empty if the call carries none. */
key_decision decideOnKey(
    const sched::queue_config &queue, bool keysRequired, const tenant_keys &keys, const std::optional<std::string_view> &key, const key_knowledge &knowledge);

} // namespace daisypass
