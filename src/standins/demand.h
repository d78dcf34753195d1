#pragma once

// The demand of the design's section 1.6: each pool in turn rises to about five times its mean for some seconds and then falls to a
// twentieth of its mean.

#include "base/time.h"

#include <cstddef>
#include <random>

namespace daisypass {

struct demand_options
{
    std::size_t pools = 5;
    /** Requests per second of one pool, averaged over a whole cycle. */
    double meanRate = 100;
    duration peakLength = std::chrono::seconds(4);
};

constexpr double peakFactor = 5;
constexpr double ebbFactor = 1.0 / 20;

/** Requests per second of a pool at a time since the start. Outside peaks and ebbs the rate is what keeps the mean. */
double demandRate(const demand_options &options, std::size_t pool, duration at);

/** Time of the next arrival of a Poisson process with that rate. */
duration nextArrival(const demand_options &options, std::size_t pool, duration after, std::mt19937_64 &random);

} // namespace daisypass
