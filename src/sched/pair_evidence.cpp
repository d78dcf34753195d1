#include "sched/pair_evidence.h"

#include <algorithm>
#include <cmath>

namespace daisypass::sched {
namespace {

// Lists come twice a second and each is compared with several others, so samples repeat errors that they share. This many samples
// count as one.
constexpr double samplesPerIndependentOne = 4.0;
// Executors report rough figures; a scatter below this one (standard deviation of the logarithm) is taken for chance.
constexpr double minScatter = 0.15;
// A group counts as having had the neighbour beside a serving task from this decayed number of samples on.
constexpr double minSamplesBeside = 1.5;

} // namespace

void pair_evidence::sums::decay(double factor)
{
    squaredActivity *= factor;
    product *= factor;
    beside *= factor;
}

double pair_evidence::decayUntil(time_ms now) const
{
    const double halfLives = static_cast<double>(std::max<time_ms>(0, now - m_updatedAt)) / static_cast<double>(evidenceHalfLifeMs);
    return std::exp2(-halfLives);
}

void pair_evidence::add(const pair_sample &sample, time_ms now)
{
    const double factor = decayUntil(now);
    for (sums &group : m_groups) {
        group.decay(factor);
    }
    m_total.decay(factor);
    m_squaredTail *= factor;
    m_samples *= factor;
    m_updatedAt = now;
    for (sums *part : {&m_groups[sample.group % evidenceGroups], &m_total}) {
        part->squaredActivity += sample.activity * sample.activity;
        part->product += sample.activity * sample.tailLog;
        part->beside += sample.beside ? 1 : 0;
    }
    m_squaredTail += sample.tailLog * sample.tailLog;
    m_samples += 1;
}

// Least squares without a constant term: without a difference in activity no difference in the tail is expected.
double pair_evidence::effect() const
{
    return m_total.squaredActivity > 0 ? m_total.product / m_total.squaredActivity : 0;
}

double pair_evidence::weight(time_ms now) const
{
    return m_total.squaredActivity * decayUntil(now);
}

double pair_evidence::confidence(time_ms now) const
{
    if (m_total.squaredActivity <= 0) {
        return 0;
    }
    return effect() / std::sqrt(std::max(independentVariance(now), groupedVariance()));
}

// Variance of the effect if the scatter around it were independent. It grows as the evidence ages.
double pair_evidence::independentVariance(time_ms now) const
{
    const double unexplained = std::max(0.0, m_squaredTail - effect() * m_total.product) / m_samples;
    const double scatter = std::max(unexplained, minScatter * minScatter);
    return samplesPerIndependentOne * scatter / weight(now);
}

// Variance of the effect by how far the groups disagree, as samples of one executor share what is particular to it: its load, its speed.
double pair_evidence::groupedVariance() const
{
    double sum = 0;
    int groups = 0;
    for (const sums &group : m_groups) {
        if (group.squaredActivity > 0) {
            const double residual = group.product - effect() * group.squaredActivity;
            sum += residual * residual;
            ++groups;
        }
    }
    const double correction = groups > 1 ? static_cast<double>(groups) / (groups - 1) : 1.0;
    return correction * sum / (m_total.squaredActivity * m_total.squaredActivity);
}

int pair_evidence::groupsBeside() const
{
    return static_cast<int>(std::count_if(m_groups.begin(), m_groups.end(), [](const sums &group) {
        return group.beside >= minSamplesBeside;
    }));
}

} // namespace daisypass::sched
