#pragma once

// The dispatcher of the term that this process holds, if it holds one, and what the dispatcher of a later term must know.
//
//     dispatcher_owner owner([](const held_term &term) { return std::make_shared<dispatcher>(...); });
//     owner.begin(term);
//     if (std::shared_ptr<dispatcher> current = owner.current()) { ... }
//     std::shared_ptr<dispatcher> former = owner.take();

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
struct adopted_configuration
{
    std::shared_ptr<const sched::configuration_view> view;
    std::shared_ptr<dispatcher> current;
};

class dispatcher_owner
{
public:
    explicit dispatcher_owner(std::function<std::shared_ptr<dispatcher>(const held_term &)> make);

    /** Null without a term. */
    std::shared_ptr<dispatcher> current() const;
    /** Stops the dispatcher of an earlier term, and starts one with the configuration and the waves known so far. */
    void begin(const held_term &term);
    /** Ends the ownership; the caller stops or releases the dispatcher. */
    std::shared_ptr<dispatcher> take();
    /** Like take(), but only for a larger machine that has come and after the least time of a term; otherwise null. */
    std::shared_ptr<dispatcher> takeForLarger(std::int64_t newestLarger);

    /** Keeps the configuration if it's newer than the one known. */
    std::optional<adopted_configuration> adopt(sched::configuration_view read);
    /** Keeps the wave for later terms, and returns the dispatcher that has yet to be told. */
    std::shared_ptr<dispatcher> keepWave(const sched::wave_request &wave);

private:
    std::function<std::shared_ptr<dispatcher>(const held_term &)> m_make;
    mutable std::mutex m_lock;
    std::shared_ptr<dispatcher> m_current;
    std::shared_ptr<const sched::configuration_view> m_view;
    std::map<std::int64_t, sched::wave_request> m_waves;
    sched::time_ms m_began = 0;
    /** Version of the newest entry of a larger machine that is known. */
    std::int64_t m_largerSeen = 0;
};

} // namespace daisypass
