#include "kernel/run_time_model.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace daisypass {

namespace {

/** Weight of a new observation: an estimate reflects about the last 10 to 20 requests of a class. */
constexpr double newWeight = 0.1;
/** Lower bound of the shortest class's run time. Differences below it are network noise, so all such classes count as short. */
constexpr double noiseFloorSeconds = 0.001;
/** Observations between two searches for the shortest class, which iterate over every class. */
constexpr int rescanPeriod = 32;

double secondsOf(duration time)
{
    return std::max(std::chrono::duration<double>(time).count(), 1e-6);
}

} // namespace

void run_time_model::estimate::add(double seconds)
{
    ++samples;
    // The first observations have equal weight; otherwise the very first one would have the greatest.
    const double weight = std::max(newWeight, 1.0 / samples);
    logMean += weight * (std::log(seconds) - logMean);
    mean += weight * (seconds - mean);
}

run_time_model::run_time_model()
{
    m_estimates.emplace_back();
    m_classes.push_back(0);
}

std::uint32_t run_time_model::findOrAddNumber(const std::string &key, std::uint32_t parent)
{
    const auto found = m_numbers.find(key);
    if (found != m_numbers.end()) {
        return found->second;
    }
    if (m_estimates.size() >= maxClasses) {
        return 0;
    }
    const std::uint32_t fresh = static_cast<std::uint32_t>(m_estimates.size());
    m_estimates.emplace_back().parent = parent == 0 ? fresh : parent;
    if (parent == 0) {
        m_classes.push_back(fresh);
    }
    m_numbers.emplace(key, fresh);
    return fresh;
}

std::uint32_t run_time_model::classNumber(std::string_view team, std::string_view requestClass)
{
    const std::uint32_t parent = findOrAddNumber(std::string(requestClass), 0);
    if (parent == 0) {
        return 0;
    }
    // The separator cannot occur in a header value, so the name of a class cannot equal the key of a (team, class) pair.
    return findOrAddNumber(std::string(requestClass) + '\n' + std::string(team), parent);
}

void run_time_model::observe(std::uint32_t runClass, duration runTime)
{
    const double seconds = secondsOf(runTime);
    estimate &teamEstimate = m_estimates[runClass];
    teamEstimate.add(seconds);
    if (teamEstimate.parent != runClass) {
        m_estimates[teamEstimate.parent].add(seconds);
    }
    m_pool.add(seconds);
    const double typicalSeconds = std::exp(m_estimates[teamEstimate.parent].logMean);
    if (m_pool.samples % rescanPeriod == 1 || m_shortestSeconds == 0) {
        findShortest();
    } else if (typicalSeconds < m_shortestSeconds) {
        m_shortestSeconds = std::max(typicalSeconds, noiseFloorSeconds);
    }
}

void run_time_model::findShortest()
{
    double shortest = std::numeric_limits<double>::infinity();
    for (std::uint32_t each : m_classes) {
        const double logMean = m_estimates[each].logMean;
        shortest = m_estimates[each].samples > 0 ? std::min(shortest, logMean) : shortest;
    }
    m_shortestSeconds = std::max(std::exp(shortest), noiseFloorSeconds);
}

void run_time_model::observeRunning(std::uint32_t runClass, duration elapsed)
{
    if (findEstimate(runClass) == nullptr) {
        m_estimates[runClass].add(secondsOf(elapsed));
    }
}

const run_time_model::estimate *run_time_model::findEstimate(std::uint32_t runClass) const
{
    const estimate &teamEstimate = m_estimates[runClass];
    const estimate &classEstimate = m_estimates[teamEstimate.parent];
    return teamEstimate.samples > 0 ? &teamEstimate : (classEstimate.samples > 0 ? &classEstimate : nullptr);
}

std::optional<duration> run_time_model::typical(std::uint32_t runClass) const
{
    const estimate *found = findEstimate(runClass);
    if (found == nullptr) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::exp(found->logMean)));
}

duration run_time_model::mean(std::uint32_t runClass) const
{
    const estimate *found = findEstimate(runClass);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(found != nullptr ? found->mean : m_pool.mean));
}

run_band run_time_model::bandOf(double seconds, const band_order &order) const
{
    const double ratio = seconds / m_shortestSeconds;
    return ratio < order.shortBound ? ShortBand : (ratio < order.mediumBound ? MediumBand : LongBand);
}

run_band run_time_model::band(std::uint32_t runClass, const band_order &order) const
{
    const estimate *found = findEstimate(runClass);
    if (found != nullptr && m_shortestSeconds > 0) {
        return bandOf(std::exp(found->logMean), order);
    }
    // Before the first completion in the pool there is no run time to compare with. Afterwards a class without an estimate may be long, so it is limited like
    // long work.
    return m_shortestSeconds > 0 ? LongBand : ShortBand;
}

run_band run_time_model::bandOfElapsed(duration elapsed, const band_order &order) const
{
    return m_shortestSeconds > 0 ? bandOf(secondsOf(elapsed), order) : ShortBand;
}

} // namespace daisypass
