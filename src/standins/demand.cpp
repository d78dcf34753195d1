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
    // With up to five pools the peak alone accounts for the mean, so the rate stays at the trough until the pool's next peak.
    const double others = static_cast<double>(options.pools) - 2;
    const double between = others > 0 ? (static_cast<double>(options.pools) - peakFactor - troughFactor) / others : troughFactor;
    return options.meanRate * (sincePeak == 1 ? troughFactor : std::max(troughFactor, between));
}

duration nextArrival(const demand_options &options, std::size_t pool, duration after, std::mt19937_64 &random)
{
    // Thinning: draws candidates at the maximum rate and accepts each with probability (current rate / maximum rate).
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
