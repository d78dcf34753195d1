#include "kernel/band_queues.h"

#include "base/saturating_cast.h"

#include <algorithm>
#include <cmath>

namespace daisypass {

namespace {

/** Long work leaves free the mean demand of shorter work plus this many standard deviations. The standard deviation of the demand of independent requests is
 * the square root of its mean. */
constexpr double demandMargin = 3;

// Maximum number of running long requests. A long request occupies its slot for a long time, so the usual demand of shorter work must fit into the slots that
// long work leaves.
int longLimit(const slot_use &use)
{
    const double left = use.longShareBase - use.shorterDemand - demandMargin * std::sqrt(use.shorterDemand / use.entries);
    return std::max(1, saturatingCast<int>(std::min(use.longShare * use.longShareBase, left)));
}

/** With fewer usable slots than this, a guaranteed slot would be more than a quarter of them. Longer work then gets every `guaranteedStartPeriod`-th start
 * instead. */
constexpr int minSlotsForGuarantee = 4;
constexpr unsigned guaranteedStartPeriod = 16;

// Slots that a longer band may occupy before shorter work is served.
int guaranteedSlots(const band_order &order, const slot_use &use, unsigned starts)
{
    if (use.usable < minSlotsForGuarantee) {
        return starts % guaranteedStartPeriod == 0 ? 1 : 0;
    }
    return std::max(1, saturatingCast<int>(order.guaranteedShare * use.usable));
}

} // namespace

band_queues::band_queues(request_table &table, const run_time_model &model, const scheduling_policy &policy)
    : m_table(&table)
    , m_model(&model)
    , m_policy(policy)
    , m_bands{team_queue(table), team_queue(table), team_queue(table)}
{
}

void band_queues::setPolicy(const scheduling_policy &policy)
{
    std::vector<request_index> queued;
    for (team_queue &band : m_bands) {
        while (band.size() > 0) {
            const request_index index = band.choose([](request_index) {
                return true;
            });
            queued.push_back(index);
            remove(index);
        }
    }
    m_policy = policy;
    for (request_index index : queued) {
        push(index);
    }
}

void band_queues::setWeights(const std::vector<double> &weights)
{
    for (team_queue &band : m_bands) {
        band.setWeights(weights);
    }
}

std::uint32_t band_queues::teamOf(const request_record &request) const
{
    return std::holds_alternative<arrival_order>(m_policy) ? 0 : request.team;
}

run_band band_queues::bandOf(std::uint32_t runClass) const
{
    const band_order *order = std::get_if<band_order>(&m_policy);
    return order != nullptr ? m_model->band(runClass, *order) : ShortBand;
}

run_band band_queues::bandOfElapsed(duration elapsed) const
{
    const band_order *order = std::get_if<band_order>(&m_policy);
    return order != nullptr ? m_model->bandOfElapsed(elapsed, *order) : ShortBand;
}

void band_queues::push(request_index index)
{
    request_record &request = (*m_table)[index];
    request.band = bandOf(request.runClass);
    m_bands[request.band].push(index, teamOf(request));
}

void band_queues::remove(request_index index)
{
    const request_record &request = (*m_table)[index];
    m_bands[request.band].remove(index, teamOf(request));
}

void band_queues::take(request_index index)
{
    ++m_starts;
    const request_record &request = (*m_table)[index];
    const double average = m_bands[request.band].work() / std::max(1, m_bands[request.band].size());
    // The cost is relative to the average run time of the band's queued requests. An average request costs 2, which leaves room on both sides in the range from
    // 1 to team_queue::maxCost.
    const double cost = average > 0 ? 2 * request.work / average : 1;
    m_bands[request.band].take(index, teamOf(request), cost);
}

bool band_queues::updateBand(request_index index)
{
    const request_record &request = (*m_table)[index];
    if (bandOf(request.runClass) == request.band) {
        return false;
    }
    remove(index);
    push(index);
    return true;
}

bool band_queues::mayServe(int band, const slot_use &use) const
{
    return m_bands[band].size() > 0 && (band != LongBand || use.running[LongBand] < longLimit(use));
}

request_index band_queues::choose(const slot_use &use, const std::function<bool(request_index)> &fits)
{
    const band_order *order = std::get_if<band_order>(&m_policy);
    for (int band = LongBand; order != nullptr && band > ShortBand; --band) {
        if (m_bands[band].size() > 0 && use.running[band] < guaranteedSlots(*order, use, m_starts)) {
            const request_index index = m_bands[band].choose(fits);
            if (index != noRequest) {
                return index;
            }
        }
    }
    for (int band = ShortBand; band < bandCount; ++band) {
        const request_index index = mayServe(band, use) ? m_bands[band].choose(fits) : noRequest;
        if (index != noRequest) {
            return index;
        }
    }
    return noRequest;
}

int band_queues::startable(const slot_use &use) const
{
    const int longSlotsLeft = std::max(0, longLimit(use) - use.running[LongBand]);
    return m_bands[ShortBand].size() + m_bands[MediumBand].size() + std::min(m_bands[LongBand].size(), longSlotsLeft);
}

duration band_queues::estimatedWait(std::uint32_t runClass, std::uint32_t team, const slot_use &use) const
{
    const int band = bandOf(runClass);
    double work = m_bands[band].workAhead(std::holds_alternative<arrival_order>(m_policy) ? 0 : team);
    for (int shorter = ShortBand; shorter < band; ++shorter) {
        work += m_bands[shorter].work();
    }
    // Running long requests are expected to outlast the queues of the shorter bands, so their slots are not counted.
    const int slots = band == LongBand ? longLimit(use) : std::max(1, use.usable - use.running[LongBand]);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(work / slots));
}

int band_queues::size() const
{
    int total = 0;
    for (const team_queue &band : m_bands) {
        total += band.size();
    }
    return total;
}

} // namespace daisypass
