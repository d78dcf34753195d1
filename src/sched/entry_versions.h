#pragma once

// The version of the registry's row that was last applied for each executor.
//
//     entry_versions versions;
//     if (versions.isOutdated(executor, version, now)) { ... leave the row alone ... }
//     versions.forgetGone(isKnown, now);             // now and then
//
// The registry is read whole beside its feed, so an older row may come after a newer one, or after the row's removal. A read is over
// within seconds, so the versions of executors that are gone are kept for a while only.

#include "sched/model.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace daisypass::sched {

class entry_versions
{
public:
    /** A newer row, or removal, of the executor was applied before. A version of 0 isn't known, and never outdated. */
    bool isOutdated(const std::string &executor, std::int64_t version, time_ms now);
    /** Forgets the executors that aren't known any more and of which no row has come for a while. */
    void forgetGone(const std::function<bool(const std::string &executor)> &isKnown, time_ms now);
    std::size_t size() const
    {
        return m_latest.size();
    }

private:
    struct applied_row
    {
        std::int64_t version = 0;
        time_ms at = 0;
    };

    std::map<std::string, applied_row> m_latest;
};

} // namespace daisypass::sched
