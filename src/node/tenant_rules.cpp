#include "node/tenant_rules.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace daisypass {
namespace {

constexpr double defaultWeight = 1.0;

void correctWeight(sched::tenant_config &tenant, std::vector<tenant_warning> &warnings)
{
    if (std::isfinite(tenant.weight) && tenant.weight > 0) {
        return;
    }
    tenant.weight = defaultWeight;
    warnings.push_back({tenant_problem::WeightNotPositive, tenant.name, {}});
}

void correctCap(sched::tenant_config &tenant, std::vector<tenant_warning> &warnings)
{
    const bool negative = tenant.cap.cpu < 0 || tenant.cap.memoryMb < 0 || tenant.cap.gpu < 0;
    if (!negative) {
        return;
    }
    tenant.cap.cpu = std::max<std::int64_t>(0, tenant.cap.cpu);
    tenant.cap.memoryMb = std::max<std::int64_t>(0, tenant.cap.memoryMb);
    tenant.cap.gpu = std::max<std::int64_t>(0, tenant.cap.gpu);
    warnings.push_back({tenant_problem::CapNegative, tenant.name, {}});
}

// Removes keys that belong to an earlier tenant.
void correctKeys(sched::tenant_config &tenant, std::map<std::string, std::string> &ownerOfKey, std::vector<tenant_warning> &warnings)
{
    std::vector<std::string> kept;
    for (std::string &key : tenant.keys) {
        const std::string &owner = ownerOfKey.emplace(key, tenant.name).first->second;
        if (owner == tenant.name) {
            kept.push_back(std::move(key));
        } else {
            warnings.push_back({tenant_problem::KeyOfAnotherTenant, tenant.name, owner});
        }
    }
    tenant.keys = std::move(kept);
}

} // namespace

std::string_view nameOf(tenant_problem problem)
{
    switch (problem) {
    case tenant_problem::KeyOfAnotherTenant:
        return "key_of_another_tenant";
    case tenant_problem::NameTwice:
        return "name_twice";
    case tenant_problem::WeightNotPositive:
        return "weight_not_positive";
    case tenant_problem::CapNegative:
        return "cap_negative";
    }
    return "unknown";
}

std::vector<tenant_warning> correctTenants(std::vector<sched::tenant_config> &tenants)
{
    std::vector<tenant_warning> warnings;
    std::vector<sched::tenant_config> corrected;
    std::map<std::string, std::string> ownerOfKey;
    for (sched::tenant_config &tenant : tenants) {
        correctWeight(tenant, warnings);
        correctCap(tenant, warnings);
        correctKeys(tenant, ownerOfKey, warnings);
        const auto first = std::find_if(corrected.begin(), corrected.end(), [&tenant](const sched::tenant_config &earlier) {
            return earlier.name == tenant.name;
        });
        if (first == corrected.end()) {
            corrected.push_back(std::move(tenant));
            continue;
        }
        warnings.push_back({tenant_problem::NameTwice, first->name, {}});
        first->keys.insert(first->keys.end(), tenant.keys.begin(), tenant.keys.end());
    }
    tenants = std::move(corrected);
    return warnings;
}

} // namespace daisypass
