#include "kernel/policy_registry.h"

namespace daisypass {

namespace {

[[maybe_unused]] const bool lendRegistered = registerPolicy<slot_policy>("lend", lent_slots{});
[[maybe_unused]] const bool staticSharesRegistered = registerPolicy<slot_policy>("static-shares", static_slot_shares{});
[[maybe_unused]] const bool refusalOnlyRegistered = registerPolicy<slot_policy>("refusal-only", unowned_slots{});
[[maybe_unused]] const bool poolOwnerRegistered = registerPolicy<slot_policy>("pool-owner", pool_owner_slots{});

} // namespace

} // namespace daisypass
