#include "load_settings.h"

namespace daisypass::sched {

const std::string &load_queue::name() const
{
    return ownName.empty() ? pool : ownName;
}

processor_costs processor_costs::slowedBy(double factor) const
{
    return {factor * message, factor * jobConsidered, factor * executorConsidered, factor * runChecked, factor * vmPlanned};
}

load_settings referenceDay(std::uint64_t seed)
{
    load_settings settings;
    settings.seed = seed;
    load_queue booking{"booking", 7.65, 1.6, 6, 1'800, 680, 0, 4, 0.01, 0.491, 0, 0.15, 0.2, 5, 7'200};
    load_queue profiles{"profiles", 0.933, 2, 8, 3'800, 1'800, 1, 2, 0.03, 4.54, 0.8, 0.3, 0.5, 5, 19'000};
    load_queue counter{"counter", 9.56, 1.6, 6, 1'800, 680, 0, 4, 0.01, 0.491, 0, 0.15, 0.2, 5, 7'200};
    load_queue grinder{"grinder", 1.14, 2, 8, 3'800, 1'800, 1, 2, 0.03, 4.54, 0.8, 0.3, 0.5, 5, 19'000};
    settings.queues = {booking, profiles, counter, grinder};
    return settings;
}

load_settings steadyDay(std::uint64_t seed)
{
    load_settings settings = referenceDay(seed);
    settings.peakFactor = 1;
    settings.offPeakFactor = 1;
    settings.restartMs = 3'300;
    settings.crashBreaksConnections = true;
    return settings;
}

load_settings withoutCrashingTasks(load_settings settings)
{
    // The share stays, so that the other draws do too.
    for (load_queue &queue : settings.queues) {
        queue.crashingUntil = queue.crashingFrom;
    }
    return settings;
}

load_settings largeFleetDay(std::uint64_t seed)
{
    load_settings settings;
    settings.seed = seed;
    load_queue booking{"booking", 42.1, 1.6, 8, 4'500, 850, 0, 4, 0.01, 0.276, 0, 0.15, 0.2, 24, 9'000};
    load_queue profiles{"profiles", 10.3, 2, 8, 9'700, 1'400, 1, 4, 0.02, 1.26, 0.8, 0.3, 0.5, 24, 15'000};
    load_queue counter{"counter", 52.7, 1.6, 8, 4'500, 850, 0, 4, 0.01, 0.276, 0, 0.15, 0.2, 24, 9'000};
    load_queue grinder{"grinder", 12.6, 2, 8, 9'700, 1'400, 1, 4, 0.02, 1.26, 0.8, 0.3, 0.5, 24, 15'000};
    settings.queues = {booking, profiles, counter, grinder};
    settings.vmsPerPool = 230;
    settings.spareVms = 177;
    settings.lengthMs = 14'000;
    settings.fleetOrdersPerSecond = 590;
    // A lease holder with half a core.
    settings.costs = {20, 1.7, 0.08, 1.0, 2.7};
    return settings;
}

} // namespace daisypass::sched
