#include "sched/run_pace.h"

#include <algorithm>

namespace daisypass::sched {
namespace {

// A run is stopped only if its remaining time is more than this many times the duration of a new run.
constexpr double stragglerFactor = 1.8;
// Below this share of the expected duration the progress is too uncertain to project from.
constexpr double minElapsedShare = 0.6;
// With at least this many tasks of the step on other executors, their durations replace the estimate.
constexpr std::size_t minSiblings = 2;
// A run that was first observed after its start may have been about to reach its next percent, so the rate is uncertain below this
// many percent.
constexpr int minObservedPercent = 5;
// Estimates are off by half or more, so runs of a single job must be slower than runs of several jobs to show a slow executor.
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
    const int observed = percent - initialPercent;
    if (observed < (initialPercent > 0 ? minObservedPercent : 1)) {
        return std::nullopt;
    }
    return ranMs * 100.0 / observed;
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
    const std::optional<double> remaining = pace.remainingMs();
    if (!remaining) {
        return false;
    }
    const bool siblingsKnown = evidence.siblingsMs.size() >= minSiblings;
    if (!siblingsKnown && !executorIsAtFault(evidence)) {
        return false;
    }
    const double expectedMs = siblingsKnown ? medianOf(evidence.siblingsMs) : evidence.estimateMs;
    return pace.ranMs > minElapsedShare * expectedMs && *remaining > stragglerFactor * expectedMs;
}

} // namespace daisypass::sched
