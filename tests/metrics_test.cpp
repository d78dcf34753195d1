// Tests of counters, gauges and histograms in the Prometheus text format.

#include "base/metrics.h"

#include <doctest/doctest.h>

#include <cmath>
#include <thread>
#include <vector>

using namespace daisypass;

TEST_CASE("a histogram estimates quantiles within its bucket width")
{
    histogram values;
    CHECK(values.quantile(0.5) == 0);
    for (int i = 1; i <= 1'000; ++i) {
        values.record(i / 1'000.0);
    }
    CHECK(values.count() == 1'000);
    CHECK(values.max() == 1.0);
    // With two buckets per power of two, an estimate is off by less than a factor of the square root of two.
    for (double fraction : {0.1, 0.5, 0.9, 0.99}) {
        CAPTURE(fraction);
        CHECK(values.quantile(fraction) > fraction / 1.42);
        CHECK(values.quantile(fraction) < fraction * 1.42);
    }
    CHECK(values.cumulativeBuckets().back().second == 1'000);
}

// Its bucket was computed by a conversion out of range, which gives an index far below zero on x86-64.
TEST_CASE("a histogram leaves out what isn't a number")
{
    histogram values;
    values.record(std::nan(""));
    CHECK(values.count() == 0);
    values.record(0.5);
    CHECK(values.count() == 1);
    CHECK(values.sum() == 0.5);
}

TEST_CASE("metrics render in a fixed order with escaped labels")
{
    metrics_registry metrics;
    metrics.findCounter("b_total", {{"team", "x\"y"}}).add(2);
    metrics.findCounter("a_total").add();
    metrics.findGauge("g", {{"k", "v"}}).set(1.5);
    const std::string text = metrics.render();
    CHECK(text == "# TYPE a_total counter\na_total 1\n# TYPE b_total counter\nb_total{team=\"x\\\"y\"} 2\n# TYPE g gauge\ng{k=\"v\"} 1.5\n");

    SUBCASE("a histogram ends with its infinite bucket, sum and count")
    {
        metrics.findHistogram("h_seconds", {{"class", "short"}}).record(0.25);
        const std::string rendered = metrics.render();
        CHECK(rendered.find("h_seconds_bucket{class=\"short\",le=\"+Inf\"} 1\n") != std::string::npos);
        CHECK(rendered.find("h_seconds_sum{class=\"short\"} 0.25\n") != std::string::npos);
        CHECK(rendered.find("h_seconds_count{class=\"short\"} 1\n") != std::string::npos);
    }
}

TEST_CASE("counts from several threads are exact")
{
    metrics_registry metrics;
    std::vector<std::thread> threads;
    constexpr int threadCount = 4;
    constexpr int addsPerThread = 10'000;
    for (int i = 0; i < threadCount; ++i) {
        threads.emplace_back([&metrics] {
            for (int add = 0; add < addsPerThread; ++add) {
                metrics.findCounter("c").add();
                metrics.findHistogram("h").record(0.001);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(metrics.findCounter("c").value() == threadCount * addsPerThread);
    CHECK(metrics.findHistogram("h").count() == threadCount * addsPerThread);
}
