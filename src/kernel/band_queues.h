#pragma once

// The queued requests of a pool in the order in which its scheduling policy serves them.
//
//     band_queues queues(table, model, band_order{});
//     queues.push(index);
//     const request_index next = queues.choose(use, fits);
//     if (next != noRequest) {
//         queues.take(next);
//     }

#include "kernel/run_time_model.h"
#include "kernel/scheduling_policy.h"
#include "kernel/team_queue.h"

#include <array>
#include <functional>
#include <vector>

namespace daisypass {

/** Slots that this entry may use, and the running requests that occupy them. */
struct slot_use
{
    int usable = 0;
    /** The slots that `longShare` refers to: those that the entry owns, or an equal part of the pool if that is more. Long work outlives loans, so
     * borrowed slots do not raise its limit. */
    int longShareBase = 0;
    /** Share of the slots that long work may occupy. */
    double longShare = 0.5;
    /** Moving average of the slots that shorter work occupies, including the slots lent to peers. */
    double shorterDemand = 0;
    /** Number of entries that lend slots to each other. Their combined demand varies relatively less than that of a single entry. */
    int entries = 1;
    /** Running requests by band. */
    std::array<int, bandCount> running{};
};

class band_queues
{
public:
    band_queues(request_table &table, const run_time_model &model, const scheduling_policy &policy);

    /** Changes the policy and reorders the queued requests by it. */
    void setPolicy(const scheduling_policy &policy);
    void setWeights(const std::vector<double> &weights);

    /** Queues a request whose team, class and work are set, and sets its band. */
    void push(request_index index);
    void remove(request_index index);
    /** Returns the next request that may use a slot and that `fits` accepts, or noRequest. The request stays queued. */
    request_index choose(const slot_use &use, const std::function<bool(request_index)> &fits);
    /** Removes a request that choose() returned and charges its team. */
    void take(request_index index);
    /** Moves a queued request to the band that its class belongs to now. Returns false if the band has not changed since push(). */
    bool updateBand(request_index index);

    run_band bandOf(std::uint32_t runClass) const;
    run_band bandOfElapsed(duration elapsed) const;

    /** Number of queued requests that could start if enough slots were free; the limit of long work still applies. */
    int startable(const slot_use &use) const;
    /** Estimates how long a new request of this class and team would wait, from the expected run time of the work queued ahead of it. */
    duration estimatedWait(std::uint32_t runClass, std::uint32_t team, const slot_use &use) const;
    int size() const;

private:
    bool mayServe(int band, const slot_use &use) const;
    std::uint32_t teamOf(const request_record &request) const;

    request_table *m_table;
    const run_time_model *m_model;
    scheduling_policy m_policy;
    /** Number of requests taken so far; wraps around. */
    unsigned m_starts = 0;
    std::array<team_queue, bandCount> m_bands;
};

} // namespace daisypass
