#include "kernel/run_time_model.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace daisypass {

namespace {

/** Weight of a new observation: about the last 10 to 20 requests of a class count. */
constexpr double Weight = 0.1;
/** Run times below this are all short; differences there are noise of the network. */
constexpr double ShortestSeconds = 0.001;
/** Observations between two searches for the shortest class, which look at every class. */
constexpr int RescanPeriod = 32;

double secondsOf(duration time)
{
    return std::max(std::chrono::duration<double>(time).count(), 1e-6);
}

} // namespace

void run_time_model::estimate::add(double seconds)
{
    ++samples;
    // The first observations are averaged evenly, so that the very first one does not weigh more than the others.
    const double weight = std::max(Weight, 1.0 / samples);
    logMean += weight * (std::log(seconds) - logMean);
    mean += weight * (seconds - mean);
}

run_time_model::run_time_model()
{
    m_estimates.emplace_back();
    m_classes.push_back(0);
}

std::uint32_t run_time_model::number(const std::string &key, std::uint32_t parent)
{
    const auto found = m_numbers.find(key);
    if (found != m_numbers.end()) {
        return found->second;
    }
    if (m_estimates.size() >= MaxClasses) {
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
    const std::uint32_t parent = number(std::string(requestClass), 0);
    if (parent == 0) {
        return 0;
    }
    // The separator cannot occur in a header value, so a class cannot pose as a team's class.
    return number(std::string(requestClass) + '\n' + std::string(team), parent);
}

void run_time_model::observe(std::uint32_t runClass, duration runTime)
{
    const double seconds = secondsOf(runTime);
    estimate &own = m_estimates[runClass];
    own.add(seconds);
    if (own.parent != runClass) {
        m_estimates[own.parent].add(seconds);
    }
    m_pool.add(seconds);
    const double typicalSeconds = std::exp(m_estimates[own.parent].logMean);
    if (m_pool.samples % RescanPeriod == 1 || m_shortest == 0) {
        findShortest();
    } else if (typicalSeconds < m_shortest) {
        m_shortest = std::max(typicalSeconds, ShortestSeconds);
    }
}

void run_time_model::findShortest()
{
    double shortest = std::numeric_limits<double>::infinity();
    for (std::uint32_t each : m_classes) {
        const double logMean = m_estimates[each].logMean;
        shortest = m_estimates[each].samples > 0 ? std::min(shortest, logMean) : shortest;
    }
    m_shortest = std::max(std::exp(shortest), ShortestSeconds);
}

void run_time_model::observeRunning(std::uint32_t runClass, duration elapsed)
{
    if (known(runClass) == nullptr) {
        m_estimates[runClass].add(secondsOf(elapsed));
    }
}

const run_time_model::estimate *run_time_model::known(std::uint32_t runClass) const
{
    const estimate &own = m_estimates[runClass];
    const estimate &prior = m_estimates[own.parent];
    return own.samples > 0 ? &own : (prior.samples > 0 ? &prior : nullptr);
}

std::optional<duration> run_time_model::typical(std::uint32_t runClass) const
{
    const estimate *found = known(runClass);
    if (found == nullptr) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::exp(found->logMean)));
}

duration run_time_model::mean(std::uint32_t runClass) const
{
    const estimate *found = known(runClass);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(found != nullptr ? found->mean : m_pool.mean));
}

run_band run_time_model::bandOf(double seconds, const band_order &order) const
{
    const double ratio = seconds / m_shortest;
    return ratio < order.shortBound ? ShortBand : (ratio < order.mediumBound ? MediumBand : LongBand);
}

run_band run_time_model::band(std::uint32_t runClass, const band_order &order) const
{
    const estimate *found = known(runClass);
    if (found != nullptr && m_shortest > 0) {
        return bandOf(std::exp(found->logMean), order);
    }
    // Without any completion there is nothing to compare with. Afterwards an unknown class may be long, and is limited until it is known.
    return m_shortest > 0 ? LongBand : ShortBand;
}

run_band run_time_model::bandOfElapsed(duration elapsed, const band_order &order) const
{
    return m_shortest > 0 ? bandOf(secondsOf(elapsed), order) : ShortBand;
}

} // namespace daisypass
