#pragma once

// Owns the dispatcher while this process holds the lease, and keeps the configuration and waves that later terms need.
//
//     dispatcher_owner owner([](const held_term &term) { return std::make_shared<dispatcher>(...); });
//     owner.startTerm(term);
//     if (std::shared_ptr<dispatcher> current = owner.current()) { ... }
//     std::shared_ptr<dispatcher> former = owner.detach();

#include "node/dispatcher.h"
#include "node/lease_yield_rule.h"
#include "sched/model.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace daisypass {

/** A new configuration, and the current dispatcher (null without a term), which the caller must notify. */
struct configuration_update
{
    std::shared_ptr<const sched::configuration_view> view;
    std::shared_ptr<dispatcher> current;
};

class dispatcher_owner
{
public:
    explicit dispatcher_owner(std::function<std::shared_ptr<dispatcher>(const held_term &)> createDispatcher);

    /** Returns null if this process holds no term. */
    std::shared_ptr<dispatcher> current() const;
    /** Stops the dispatcher of an earlier term and starts a new one with the latest configuration and all known waves. */
    void startTerm(const held_term &term);
    /** Passes the dispatcher to the caller, who must stop or release it; null without a term. */
    std::shared_ptr<dispatcher> detach();
    /** Like detach(), but only if the lease must be released for a much larger machine (lease_yield_rule.h); otherwise returns null. */
    std::shared_ptr<dispatcher> detachForLargerNode(std::int64_t newestLargerEntry);

    /** Stores the configuration if its version is higher than the current one; otherwise returns nothing. */
    std::optional<configuration_update> updateConfiguration(sched::configuration_view read);
    /** Stores the wave for later terms, and returns the current dispatcher, which the caller must notify. */
    std::shared_ptr<dispatcher> recordWave(const sched::wave_request &wave);

private:
    std::function<std::shared_ptr<dispatcher>(const held_term &)> m_createDispatcher;
    mutable std::mutex m_lock;
    std::shared_ptr<dispatcher> m_current;
    std::shared_ptr<const sched::configuration_view> m_view;
    std::map<std::int64_t, sched::wave_request> m_waves;
    lease_yield_rule m_yieldRule;
};

} // namespace daisypass
