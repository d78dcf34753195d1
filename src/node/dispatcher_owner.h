#pragma once

// The dispatcher of the term that this process holds, if it holds one, and what the dispatcher of a later term must know.
//
//     dispatcher_owner owner([](const held_term &term) { return std::make_shared<dispatcher>(...); });
//     owner.startTerm(term);
//     if (std::shared_ptr<dispatcher> current = owner.current()) { ... }
//     std::shared_ptr<dispatcher> former = owner.detach();

#include "node/dispatcher.h"
#include "sched/model.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace daisypass {

/** A configuration that is new, and the dispatcher that has yet to be told. */
struct configuration_update
{
    std::shared_ptr<const sched::configuration_view> view;
    std::shared_ptr<dispatcher> current;
};

class dispatcher_owner
{
public:
    explicit dispatcher_owner(std::function<std::shared_ptr<dispatcher>(const held_term &)> createDispatcher);

    /** Null without a term. */
    std::shared_ptr<dispatcher> current() const;
    /** Stops the dispatcher of an earlier term, and starts one with the configuration and the waves known so far. */
    void startTerm(const held_term &term);
    /** Ends the ownership; the caller stops or releases the dispatcher. */
    std::shared_ptr<dispatcher> detach();
    /** Like detach(), but only for a larger machine that has come and after the least time of a term; otherwise null. */
    std::shared_ptr<dispatcher> detachForLargerNode(std::int64_t newestLargerEntry);

    /** Keeps the configuration if it's newer than the one known. */
    std::optional<configuration_update> updateConfiguration(sched::configuration_view read);
    /** Keeps the wave for later terms, and returns the dispatcher that has yet to be told. */
    std::shared_ptr<dispatcher> recordWave(const sched::wave_request &wave);

private:
    std::function<std::shared_ptr<dispatcher>(const held_term &)> m_createDispatcher;
    mutable std::mutex m_lock;
    std::shared_ptr<dispatcher> m_current;
    std::shared_ptr<const sched::configuration_view> m_view;
    std::map<std::int64_t, sched::wave_request> m_waves;
    sched::time_ms m_termStartedAt = 0;
    /** Version of the newest entry of a larger machine that is known. */
    std::int64_t m_newestLargerEntry = 0;
};

} // namespace daisypass
