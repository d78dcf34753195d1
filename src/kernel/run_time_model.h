#pragma once

// Estimates the run times of request classes from observations, and derives the bands of the scheduling policy from them.
//
//     const std::uint32_t runClass = model.classNumber("red", "lookup");
//     model.observe(runClass, runTime);
//     const run_band band = model.band(runClass, order);
//
// Estimates are exponentially weighted means of the logarithm of the run time, so that an outlier changes them by its order of magnitude only.
// There is one estimate per class and one per (team, class). The estimate of the class is the prior for a team that uses the class for the first time.
// A team that declares a wrong class for its requests then doesn't change the estimates of other teams.

#include "base/time.h"
#include "kernel/scheduling_policy.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace daisypass {

constexpr int bandCount = 3;
enum run_band : std::uint8_t {
    ShortBand,
    MediumBand,
    LongBand,
};

class run_time_model
{
public:
    run_time_model();

    /** Returns the number of a (team, class) pair. Callers choose class names freely, so the number of estimates is limited to maxClasses; all further pairs
     * share number 0. */
    std::uint32_t classNumber(std::string_view team, std::string_view requestClass);

    /** Records the run time of a completed request. */
    void observe(std::uint32_t runClass, duration runTime);
    /** Records that a request has been running for `elapsed`, as a first estimate of a class that has none. */
    void observeRunning(std::uint32_t runClass, duration elapsed);

    /** Geometric mean of the run times, by which bands are chosen; nothing if the class has no estimate. */
    std::optional<duration> typical(std::uint32_t runClass) const;
    /** Arithmetic mean of the run times, for sums of work; the mean of the pool if the class has no estimate. */
    duration mean(std::uint32_t runClass) const;

    /** The band of a new request of the class. */
    run_band band(std::uint32_t runClass, const band_order &order) const;
    /** The band that a request belongs to after it has run for `elapsed`. */
    run_band bandOfElapsed(duration elapsed, const band_order &order) const;

    static constexpr std::size_t maxClasses = 1024;

private:
    struct estimate
    {
        /** Number of the class's estimate. */
        std::uint32_t parent = 0;
        int samples = 0;
        /** Mean of the logarithm of the run time in seconds. */
        double logMean = 0;
        /** Mean run time in seconds. */
        double mean = 0;

        void add(double seconds);
    };

    std::uint32_t findOrAddNumber(const std::string &key, std::uint32_t parent);
    /** The estimate of the (team, class) pair, else that of the class, else null. */
    const estimate *findEstimate(std::uint32_t runClass) const;
    void findShortest();
    run_band bandOf(double seconds, const band_order &order) const;

    std::vector<estimate> m_estimates;
    /** Numbers of the class estimates; a class is its own parent. */
    std::vector<std::uint32_t> m_classes;
    std::unordered_map<std::string, std::uint32_t> m_numbers;
    estimate m_pool;
    /** Typical run time of the shortest class; 0 before the first observation. */
    double m_shortestSeconds = 0;
};

} // namespace daisypass
