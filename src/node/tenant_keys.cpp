#include "node/tenant_keys.h"

namespace daisypass {

tenant_keys::tenant_keys(std::span<const sched::tenant_config> tenants)
{
    for (const sched::tenant_config &tenant : tenants) {
        for (const std::string &key : tenant.keys) {
            m_tenants.emplace(digestOf(m_secret, key), tenant.name);
        }
    }
}

std::optional<std::string> tenant_keys::tenantOf(std::string_view key) const
{
    const auto found = m_tenants.find(digestOf(m_secret, key));
    if (found == m_tenants.end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace daisypass
