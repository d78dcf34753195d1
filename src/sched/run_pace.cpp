#include "sched/run_pace.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// A run is worth giving up when what is left of it takes this many times as long as a new run would.
constexpr double stragglerFactor = 1.8;
// Before this share of the usual duration the progress says too little.
constexpr double leastShareRun = 0.6;
// A step's own tasks elsewhere say how long one takes, if there are this many.
constexpr std::size_t leastSiblings = 2;
// A run that was first seen at work may have been about to reach its next percent, so a few of them say too little.
constexpr int leastPercentSeen = 5;
// Estimates are off by half and more, so runs of one job must be slower than runs of several to count against the executor.
constexpr double slowRatioOfOneJob = 3.5;
constexpr double slowRatioOfManyJobs = 2.0;

bool executorIsAtFault(const pace_evidence &evidence)
{
    const double limit = evidence.executorJobs > 1 ? slowRatioOfManyJobs : slowRatioOfOneJob;
    return evidence.executorIsSlow || evidence.executorSlowdown > limit;
}

} // namespace

std::optional<double> run_pace::totalMs() const
{
    const int seen = percent - initialPercent;
    if (seen < (initialPercent > 0 ? leastPercentSeen : 1)) {
        return std::nullopt;
    }
    return ranMs * 100.0 / seen;
}

std::optional<double> run_pace::remainingMs() const
{
    const std::optional<double> total = totalMs();
    return total ? std::optional<double>(*total * (100 - percent) / 100.0 - sinceProgressMs) : std::nullopt;
}

double medianOf(std::span<const double> values)
{
    if (values.empty()) {
        return 0;
    }
    std::vector<double> sorted(values.begin(), values.end());
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

bool isStraggler(const run_pace &pace, const pace_evidence &evidence)
{
    const std::optional<double> left = pace.remainingMs();
    if (!left) {
        return false;
    }
    const bool siblingsKnown = evidence.siblingsMs.size() >= leastSiblings;
    if (!siblingsKnown && !executorIsAtFault(evidence)) {
        return false;
    }
    const double usual = siblingsKnown ? medianOf(evidence.siblingsMs) : evidence.estimateMs;
    return pace.ranMs > leastShareRun * usual && *left > stragglerFactor * usual;
}

} // namespace daisypass::sched
