#include "standins/demand.h"

#include <algorithm>

namespace daisypass {

double demandRate(const demand_options &options, std::size_t pool, duration at)
{
    const std::size_t slot = static_cast<std::size_t>(at / options.peakLength) % options.pools;
    const std::size_t sincePeak = (slot + options.pools - pool % options.pools) % options.pools;
    if (options.pools == 1) {
        return options.meanRate;
    }
    if (sincePeak == 0) {
        return options.meanRate * std::min(peakFactor, static_cast<double>(options.pools));
    }
    // With up to five pools a peak alone makes up the mean, so the pool stays at its ebb until its next turn.
    const double others = static_cast<double>(options.pools) - 2;
    const double between = others > 0 ? (static_cast<double>(options.pools) - peakFactor - ebbFactor) / others : ebbFactor;
    return options.meanRate * (sincePeak == 1 ? ebbFactor : std::max(ebbFactor, between));
}

duration nextArrival(const demand_options &options, std::size_t pool, duration after, std::mt19937_64 &random)
{
    // Thinning: candidates come at the greatest rate and are kept with the share that the current rate has of it.
    const double most = options.meanRate * peakFactor;
    std::exponential_distribution<double> gap(most);
    std::uniform_real_distribution<double> share(0, most);
    duration at = after;
    do {
        at += std::max(duration(1), std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(random))));
    } while (share(random) >= demandRate(options, pool, at));
    return at;
}

} // namespace daisypass
