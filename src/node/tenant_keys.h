#pragma once

// Finds the tenant that a key belongs to. Keys are kept as digests with a secret of this process (base/keyed_hash.h), so that neither the
// time of a look-up nor a dump of the index tells a key.
//
//     const tenant_keys keys(view.tenants);
//     if (std::optional<std::string> tenant = keys.tenantOf(key)) { ... }

#include "base/keyed_hash.h"
#include "sched/model.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace daisypass {

class tenant_keys
{
public:
    /** An index without keys. */
    tenant_keys() = default;
    /** A key that several tenants have belongs to the first of them. */
    explicit tenant_keys(std::span<const sched::tenant_config> tenants);

    /** Name of the tenant; nothing if no tenant has the key. */
    std::optional<std::string> tenantOf(std::string_view key) const;
    std::size_t size() const
    {
        return m_tenants.size();
    }

private:
    hash_secret m_secret = randomHashSecret();
    std::unordered_map<keyed_digest, std::string, digest_bucket> m_tenants;
};

} // namespace daisypass
