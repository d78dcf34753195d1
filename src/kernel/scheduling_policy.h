#pragma once

// The order in which queued requests are served. A policy is plain data that band_queues interprets.

#include <variant>

namespace daisypass {

/** Baseline: all requests in order of arrival, regardless of class and team. */
struct arrival_order
{
};

/** Bands by estimated run time, shortest first; deficit round robin between teams within a band. */
struct band_order
{
    /** Upper bounds of the short and the medium band, as multiples of the estimated run time of the shortest class. */
    double shortBound = 8;
    double mediumBound = 64;
    /** Share of the slots that each longer band gets ahead of shorter work, so that it does not starve; at least one slot. */
    double guaranteedShare = 0.0625;
};

using scheduling_policy = std::variant<arrival_order, band_order>;

} // namespace daisypass
