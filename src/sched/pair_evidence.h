#pragma once

// Evidence that one image lengthens the tail latency of another on the same executor: a regression with exponential decay.
//
//     pair_evidence evidence;
//     evidence.add({tailLog, activity, group, beside}, now);
//     if (evidence.confidence(now) >= 4) { ... exp(evidence.effect()) is the factor of the tail ... }
//
// Each sample is a difference between one executor and others at the same time, so a change that all of them share cancels out.

#include "sched/model.h"

#include <array>
#include <cstddef>

namespace daisypass::sched {

/** Executors are divided into this many groups; samples of one group may share an error. */
inline constexpr std::size_t evidenceGroups = 16;
/** Evidence loses half of its weight in this time. */
inline constexpr time_ms evidenceHalfLifeMs = 8'000;

/** The difference between one executor and the mean of others at the same time. */
struct pair_sample
{
    /** Difference of the natural logarithms of the tail latency. */
    double tailLog = 0;
    /** Difference of the neighbour's activity; 1 is one task of it at full speed. */
    double activity = 0;
    /** The executor's group, below evidenceGroups. */
    std::size_t group = 0;
    /** The neighbour works on the executor itself, not only on one of the others. */
    bool beside = false;
};

class pair_evidence
{
public:
    void add(const pair_sample &sample, time_ms now);

    /** Estimated effect of a neighbour at full speed on the natural logarithm of the tail latency. */
    double effect() const;
    /** The effect in standard errors; 0 without evidence. It falls as the evidence ages. */
    double confidence(time_ms now) const;
    /** Number of groups with an executor beside whose task the neighbour has worked. */
    int groupsBeside() const;
    /** What is left of the evidence: the decayed sum of squared activities. */
    double weight(time_ms now) const;
    time_ms updatedAt() const
    {
        return m_updatedAt;
    }

private:
    /** Decayed sums over samples. */
    struct sums
    {
        double squaredActivity = 0;
        double product = 0;
        double beside = 0;

        void decay(double factor);
    };

    double decayUntil(time_ms now) const;
    double independentVariance(time_ms now) const;
    double groupedVariance() const;

    std::array<sums, evidenceGroups> m_groups{};
    sums m_total;
    double m_squaredTail = 0;
    double m_samples = 0;
    time_ms m_updatedAt = 0;
};

} // namespace daisypass::sched
