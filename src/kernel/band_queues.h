#pragma once

// The queued requests of a pool in the order that its scheduling policy gives them.

#include "kernel/run_time_model.h"
#include "kernel/scheduling_policy.h"
#include "kernel/team_queue.h"

#include <array>
#include <functional>
#include <vector>

namespace daisypass {

/** Slots that this entry may use and what holds them. */
struct slot_use
{
    int usable = 0;
    /** Slots that belong to the entry. Long work outlives loans, so its limit does not grow with what is borrowed. */
    int owned = 0;
    double longShare = 0.5;
    /** Slots that shorter work held lately, on average; what is lent to peers included. */
    double shorterDemand = 0;
    std::array<int, BandCount> running{};
};

class band_queues
{
public:
    band_queues(request_table &table, const run_time_model &model, const scheduling_policy &policy);

    /** Changes the order of what is queued already. */
    void setPolicy(const scheduling_policy &policy);
    void setWeights(const std::vector<double> &weights);

    /** The request's team, class and work must be set; sets its band. */
    void push(request_index index);
    void remove(request_index index);
    /** The next request in order that may use a slot and that `fits` accepts, or NoRequest. It stays queued. */
    request_index choose(const slot_use &use, const std::function<bool(request_index)> &fits);
    void take(request_index index);
    /** Moves a queued request whose class has changed its band since push(); false if it is in the right one. */
    bool reband(request_index index);

    run_band bandOf(std::uint32_t runClass) const;
    run_band bandOfElapsed(duration elapsed) const;

    /** Queued requests that could start if there were slots enough. */
    int startable(const slot_use &use) const;
    /** How long a new request of this class and team would wait, from the work queued ahead of it. */
    duration estimatedWait(std::uint32_t runClass, std::uint32_t team, const slot_use &use) const;
    int size() const;

private:
    bool permitted(int band, const slot_use &use) const;
    std::uint32_t teamOf(const request_record &request) const;

    request_table *m_table;
    const run_time_model *m_model;
    scheduling_policy m_policy;
    /** Requests taken so far; wraps around. */
    unsigned m_starts = 0;
    std::array<team_queue, BandCount> m_bands;
};

} // namespace daisypass
