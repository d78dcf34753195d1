#pragma once

// Learned run times per declared class, and the bands that follow from them.
//
// Estimates are exponentially weighted means of the logarithm, so that one outlier moves them by a factor and not by its size.
// They are kept per class and per (team, class): the class is the prior of a team that uses it for the first time, and a team that declares
// wrongly then changes only its own estimate.

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

constexpr int BandCount = 3;
enum run_band : std::uint8_t {
    ShortBand,
    MediumBand,
    LongBand,
};

class run_time_model
{
public:
    run_time_model();

    /** Number of a team's class. Class names come from callers, so at most MaxClasses are told apart; the rest share number 0. */
    std::uint32_t classNumber(std::string_view team, std::string_view requestClass);

    void observe(std::uint32_t runClass, duration runTime);
    /** A request of a class without estimate has run this long already. */
    void observeRunning(std::uint32_t runClass, duration elapsed);

    /** Typical run time by which bands are chosen. */
    std::optional<duration> typical(std::uint32_t runClass) const;
    /** Mean run time for sums of work; the mean of the pool if nothing is known about the class. */
    duration mean(std::uint32_t runClass) const;

    run_band band(std::uint32_t runClass, const band_order &order) const;
    /** The band that a request belongs to after it has run for `elapsed`. */
    run_band bandOfElapsed(duration elapsed, const band_order &order) const;

    static constexpr std::size_t MaxClasses = 1024;

private:
    struct estimate
    {
        std::uint32_t parent = 0;
        int samples = 0;
        double logMean = 0;
        double mean = 0;

        void add(double seconds);
    };

    std::uint32_t number(const std::string &key, std::uint32_t parent);
    const estimate *known(std::uint32_t runClass) const;
    void findShortest();
    run_band bandOf(double seconds, const band_order &order) const;

    std::vector<estimate> m_estimates;
    /** Numbers of the estimates per class; a class is its own parent. */
    std::vector<std::uint32_t> m_classes;
    std::unordered_map<std::string, std::uint32_t> m_numbers;
    estimate m_pool;
    double m_shortest = 0;
};

} // namespace daisypass
