#pragma once

// Demand model of the load program (the design's section 1.6): the pools peak in turn. A peak has about five times the pool's mean
// rate for some seconds; then the rate falls to a twentieth of the mean.
//
//     std::mt19937_64 random(seed);
//     duration at = nextArrival(options, pool, {}, random);

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
constexpr double troughFactor = 1.0 / 20;

/** Requests per second of a pool at a time since the start. Outside peaks and troughs the rate is such that the cycle averages `meanRate`. */
double demandRate(const demand_options &options, std::size_t pool, duration at);

/** Time of the first arrival after `after`, drawn from a Poisson process with the rate demandRate(). */
duration nextArrival(const demand_options &options, std::size_t pool, duration after, std::mt19937_64 &random);

} // namespace daisypass
