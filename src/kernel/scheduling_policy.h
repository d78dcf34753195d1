#pragma once

// In which order queued requests are served. A policy is data; band_queues interprets it with a visitor.

#include <variant>

namespace daisypass {

/** All requests in order of arrival, regardless of class and team; the baseline. */
struct arrival_order
{
};

/** Bands by learned run time, shortest first; within a band deficit round robin between teams. */
struct band_order
{
    /** Upper bounds of the short and the medium band, as multiples of the shortest class's learned run time. */
    double shortBound = 8;
    double mediumBound = 64;
    /** Share of the slots that each longer band gets before shorter work, so that it progresses; at least one slot. */
    double guaranteedShare = 0.0625;
};

using scheduling_policy = std::variant<arrival_order, band_order>;

} // namespace daisypass
