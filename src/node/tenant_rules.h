#pragma once

// Checks the tenants of a configuration and replaces values that can't be used.
//
//     for (const tenant_warning &warning : correctTenants(view.tenants)) { ... log it ... }

#include "sched/model.h"

#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

enum class tenant_problem {
    /** Another tenant before it has the same key. The key belongs to the first one. */
    KeyOfAnotherTenant,
    /** A tenant of this name stands before it. The first one's weight and cap are used, and the keys of both. */
    NameTwice,
    /** The weight is 0 or less. It counts as 1. */
    WeightNotPositive,
    /** A part of the cap is negative. It counts as no limit. */
    CapNegative,
};

std::string_view nameOf(tenant_problem problem);

struct tenant_warning
{
    tenant_problem problem = tenant_problem::NameTwice;
    std::string tenant;
    /** The tenant whose value is used; empty if it is the same one. */
    std::string usedTenant;
};

/** Corrects the tenants, and returns what was found. Warnings contain no keys. */
std::vector<tenant_warning> correctTenants(std::vector<sched::tenant_config> &tenants);

} // namespace daisypass
