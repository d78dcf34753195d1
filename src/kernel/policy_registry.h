#pragma once

// Registry of policies by name. A source file in src/policies/ registers its policy from a static initialiser:
//
//     const bool registered = registerPolicy<slot_policy>("lend", lent_slots{});
//
// Registration happens before main(); afterwards the registry is only read, so it needs no lock.

#include "kernel/scheduling_policy.h"
#include "kernel/slot_policy.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

template<class policy>
std::map<std::string, policy, std::less<>> &registeredPolicies()
{
    static std::map<std::string, policy, std::less<>> policies;
    return policies;
}

/** Registers a policy. Returns false and keeps the existing policy if the name is already registered. */
template<class policy>
bool registerPolicy(std::string_view name, const policy &value)
{
    return registeredPolicies<policy>().try_emplace(std::string(name), value).second;
}

/** Returns the policy of this name, or nothing if none is registered. */
template<class policy>
std::optional<policy> findPolicy(std::string_view name)
{
    const auto found = registeredPolicies<policy>().find(name);
    return found == registeredPolicies<policy>().end() ? std::nullopt : std::optional<policy>(found->second);
}

/** Returns the registered names in sorted order, for error messages and the `check` command. */
template<class policy>
std::vector<std::string> policyNames()
{
    std::vector<std::string> names;
    for (const std::pair<const std::string, policy> &entry : registeredPolicies<policy>()) {
        names.push_back(entry.first);
    }
    return names;
}

} // namespace daisypass
