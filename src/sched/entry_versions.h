#pragma once

// Tracks the latest applied version of each executor's registry row, so that outdated rows are ignored.
//
//     entry_versions versions;
//     if (versions.isOutdated(executor, version, now)) { ... ignore the row ... }
//     versions.forgetGone(isKnown, now);             // periodically
//
// The registry is read both in full and through its change feed, so an older row may arrive after a newer one, or after the row's
// removal. A full read ends within seconds, so the versions of removed executors are kept for a limited time.

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
    /**
     * True if a later change of the executor's row, or its removal, was applied before; otherwise records the version as applied.
     * Version 0 means that the version is unknown, and is never outdated.
     */
    bool isOutdated(const std::string &executor, std::int64_t version, time_ms now);
    /** Removes executors for which `isKnown` is false and no row was applied in the last 30 s. */
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
