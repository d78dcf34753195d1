#include "node/key_check.h"

namespace daisypass {

std::string_view reasonOf(key_verdict verdict)
{
    switch (verdict) {
    case key_verdict::Admitted:
        return "admitted";
    case key_verdict::Missing:
        return "key_missing";
    case key_verdict::Unknown:
        return "key_unknown";
    case key_verdict::NotFresh:
        return "keys_not_fresh";
    }
    return "unknown";
}

key_decision decideOnKey(
    const sched::queue_config &queue, bool keysRequired, const tenant_keys &keys, const std::optional<std::string_view> &key, const key_knowledge &knowledge)
{
    if (queue.isPublic || !keysRequired) {
        return {key_verdict::Admitted, {}};
    }
    const std::optional<std::string> tenant = key ? keys.tenantOf(*key) : std::nullopt;
    if (tenant) {
        return knowledge.mayAdmit ? key_decision{key_verdict::Admitted, *tenant} : key_decision{key_verdict::NotFresh, {}};
    }
    // A newer configuration may have the key, or may have made the queue public.
    if (!knowledge.mayRefuse) {
        return {key_verdict::NotFresh, {}};
    }
    return {key ? key_verdict::Unknown : key_verdict::Missing, {}};
}

} // namespace daisypass
