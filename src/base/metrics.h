#pragma once

// Counters, gauges and histograms with labels, rendered in the Prometheus text format.
//
//     metrics_registry metrics;
//     counter &refused = metrics.findCounter("daisypass_refused_total", {{"pool", "booking"}, {"reason", "overloaded"}});
//     refused.add();
//     histogram &wait = metrics.findHistogram("daisypass_wait_seconds", {{"team", "zagreb"}});
//     wait.record(0.002);
//     std::string text = metrics.render();
//
// A find function creates the metric on first use. References stay valid as long as the registry. Keep them instead of looking them
// up for each request: a look-up takes the registry's lock, an add is one atomic operation, a record takes the histogram's own lock.

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisypass {

using metric_labels = std::vector<std::pair<std::string, std::string>>;

class counter
{
public:
    void add(std::uint64_t count = 1)
    {
        m_value.fetch_add(count, std::memory_order_relaxed);
    }

    std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value{0};
};

class gauge
{
public:
    void set(double value)
    {
        m_value.store(value, std::memory_order_relaxed);
    }

    double value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<double> m_value{0};
};

/** A distribution of seconds (or another unit named by the metric), with logarithmic buckets and estimated quantiles. */
class histogram
{
public:
    histogram();
    ~histogram();

    void record(double value);
    std::uint64_t count() const;
    double sum() const;
    double max() const;
    /** Estimates the quantile for `fraction`, from 0 to 1, by interpolation between bucket bounds (two buckets per power of two). */
    double quantile(double fraction) const;

    /** The upper bound of each bucket, with the number of values at or below it. */
    std::vector<std::pair<double, std::uint64_t>> cumulativeBuckets() const;

private:
    struct statistics;

    mutable std::mutex m_lock;
    std::unique_ptr<statistics> m_statistics;
};

class metrics_registry
{
public:
    counter &findCounter(std::string_view name, const metric_labels &labels = {});
    gauge &findGauge(std::string_view name, const metric_labels &labels = {});
    histogram &findHistogram(std::string_view name, const metric_labels &labels = {});

    /** All metrics in the Prometheus text format, ordered by name and labels. */
    std::string render() const;

private:
    template<typename T>
    using family = std::map<std::string, std::map<std::string, std::unique_ptr<T>, std::less<>>, std::less<>>;

    template<typename T>
    T &find(family<T> &metrics, std::string_view name, const metric_labels &labels);

    mutable std::mutex m_lock;
    family<counter> m_counters;
    family<gauge> m_gauges;
    family<histogram> m_histograms;
};

} // namespace daisypass
