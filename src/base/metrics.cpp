#include "base/metrics.h"

#include "base/saturating_cast.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

namespace daisypass {
namespace {

namespace acc = boost::accumulators;

// In seconds, the buckets range from 16 microseconds (a loopback round trip) to about 1.7 hours (a long reconciliation run).
constexpr double minBound = 16e-6;
constexpr int bucketsPerDoubling = 2;
constexpr int bucketCount = 58;

double bucketBound(int bucket)
{
    return minBound * std::exp2(static_cast<double>(bucket) / bucketsPerDoubling);
}

int bucketIndex(double value)
{
    if (value <= minBound) {
        return 0;
    }
    const double position = std::ceil(std::log2(value / minBound) * bucketsPerDoubling);
    return saturatingCast<int>(std::min<double>(position, bucketCount));
}

std::string escape(std::string_view text)
{
    std::string escaped;
    for (char c : text) {
        if (c == '\\' || c == '"') {
            escaped += '\\';
        }
        escaped += c == '\n' ? ' ' : c;
    }
    return escaped;
}

std::string renderLabels(const metric_labels &labels)
{
    std::string text;
    for (const std::pair<std::string, std::string> &label : labels) {
        text += (text.empty() ? "" : ",") + label.first + "=\"" + escape(label.second) + '"';
    }
    return text;
}

std::string braced(const std::string &labels)
{
    return labels.empty() ? "" : '{' + labels + '}';
}

void renderHistogram(std::ostream &out, const std::string &name, const std::string &labels, const histogram &values)
{
    const std::string prefix = labels.empty() ? "" : labels + ',';
    for (const std::pair<double, std::uint64_t> &bucket : values.cumulativeBuckets()) {
        out << name << "_bucket{" << prefix << "le=\"" << bucket.first << "\"} " << bucket.second << '\n';
    }
    out << name << "_bucket{" << prefix << "le=\"+Inf\"} " << values.count() << '\n';
    out << name << "_sum" << braced(labels) << ' ' << values.sum() << '\n';
    out << name << "_count" << braced(labels) << ' ' << values.count() << '\n';
}

} // namespace

struct histogram::statistics
{
    // The additional bucket counts values above the last bound.
    std::array<std::uint64_t, bucketCount + 1> buckets{};
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max>> totals;
};

histogram::histogram()
    : m_statistics(std::make_unique<statistics>())
{
}

histogram::~histogram() = default;

void histogram::record(double value)
{
    // It has no bucket, and would make the sum and the maximum unusable from then on.
    if (std::isnan(value)) {
        return;
    }
    const std::lock_guard<std::mutex> guard(m_lock);
    m_statistics->totals(value);
    ++m_statistics->buckets[bucketIndex(value)];
}

std::uint64_t histogram::count() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return acc::count(m_statistics->totals);
}

double histogram::sum() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return acc::sum(m_statistics->totals);
}

double histogram::max() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return acc::count(m_statistics->totals) == 0 ? 0 : acc::max(m_statistics->totals);
}

double histogram::quantile(double fraction) const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const std::uint64_t total = acc::count(m_statistics->totals);
    if (total == 0) {
        return 0;
    }
    const double rank = fraction * static_cast<double>(total);
    const double maximum = acc::max(m_statistics->totals);
    double cumulative = 0;
    for (int bucket = 0; bucket <= bucketCount; ++bucket) {
        const double inBucket = static_cast<double>(m_statistics->buckets[bucket]);
        if (inBucket > 0 && cumulative + inBucket >= rank) {
            const double lower = bucket == 0 ? 0 : bucketBound(bucket - 1);
            const double upper = bucket == bucketCount ? maximum : bucketBound(bucket);
            return std::min(maximum, lower + (upper - lower) * (rank - cumulative) / inBucket);
        }
        cumulative += inBucket;
    }
    return maximum;
}

std::vector<std::pair<double, std::uint64_t>> histogram::cumulativeBuckets() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    std::vector<std::pair<double, std::uint64_t>> buckets;
    std::uint64_t cumulative = 0;
    for (int bucket = 0; bucket < bucketCount; ++bucket) {
        cumulative += m_statistics->buckets[bucket];
        buckets.emplace_back(bucketBound(bucket), cumulative);
    }
    return buckets;
}

template<typename T>
T &metrics_registry::find(family<T> &metrics, std::string_view name, const metric_labels &labels)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    std::unique_ptr<T> &metric = metrics[std::string(name)][renderLabels(labels)];
    if (!metric) {
        metric = std::make_unique<T>();
    }
    return *metric;
}

counter &metrics_registry::findCounter(std::string_view name, const metric_labels &labels)
{
    return find(m_counters, name, labels);
}

gauge &metrics_registry::findGauge(std::string_view name, const metric_labels &labels)
{
    return find(m_gauges, name, labels);
}

histogram &metrics_registry::findHistogram(std::string_view name, const metric_labels &labels)
{
    return find(m_histograms, name, labels);
}

std::string metrics_registry::render() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    std::ostringstream out;
    for (const std::pair<const std::string, std::map<std::string, std::unique_ptr<counter>, std::less<>>> &metric : m_counters) {
        out << "# TYPE " << metric.first << " counter\n";
        for (const std::pair<const std::string, std::unique_ptr<counter>> &series : metric.second) {
            out << metric.first << braced(series.first) << ' ' << series.second->value() << '\n';
        }
    }
    for (const std::pair<const std::string, std::map<std::string, std::unique_ptr<gauge>, std::less<>>> &metric : m_gauges) {
        out << "# TYPE " << metric.first << " gauge\n";
        for (const std::pair<const std::string, std::unique_ptr<gauge>> &series : metric.second) {
            out << metric.first << braced(series.first) << ' ' << series.second->value() << '\n';
        }
    }
    for (const std::pair<const std::string, std::map<std::string, std::unique_ptr<histogram>, std::less<>>> &metric : m_histograms) {
        out << "# TYPE " << metric.first << " histogram\n";
        for (const std::pair<const std::string, std::unique_ptr<histogram>> &series : metric.second) {
            renderHistogram(out, metric.first, series.first, *series.second);
        }
    }
    return out.str();
}

} // namespace daisypass
