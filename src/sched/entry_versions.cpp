#include "sched/entry_versions.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// Many times the time limit of a registry read, so that any row that was read before its removal has arrived by then.
constexpr time_ms goneRetentionMs = 30'000;

} // namespace

bool entry_versions::isOutdated(const std::string &executor, std::int64_t version, time_ms now)
{
    applied_row &latest = m_latest[executor];
    const bool outdated = version != 0 && version < latest.version;
    if (!outdated) {
        latest.version = std::max(latest.version, version);
        latest.at = now;
    }
    return outdated;
}

void entry_versions::forgetGone(const std::function<bool(const std::string &executor)> &isKnown, time_ms now)
{
    std::erase_if(m_latest, [&](const std::pair<const std::string, applied_row> &one) {
        return one.second.at + goneRetentionMs < now && !isKnown(one.first);
    });
}

} // namespace daisypass::sched
