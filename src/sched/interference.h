#pragma once

// Learns which images lengthen the tail latency of which serving images on the same executor ("noisy neighbours").
//
//     interference_model model;
//     model.observe("e1", loads, now);                          // for each list of runs
//     for (const interference_change &change : model.review(now)) { ... log it ... }
//     const double harm = model.harmBeside(step.image, executor.images);
//
// An executor is compared with others that run the same serving image at the same time. A change of load meets all of them, and a pair
// isn't concluded from a single executor, which may be slow.

#include "sched/model.h"
#include "sched/pair_evidence.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisypass::sched {

/** Bounds of what is remembered. */
inline constexpr std::size_t maxServingImages = 32;
inline constexpr std::size_t maxNeighboursPerImage = 32;

/** Whether tasks of the step can lengthen the tail latency of others or have theirs lengthened, by what their image does. */
bool mayInterfere(const step_spec &step);

/** What an executor's list says of one run that may interfere with others. */
struct neighbour_load
{
    std::string image;
    /** Tail latency of a serving task; 0 for any other. */
    std::int64_t tailMs = 0;
    /** Share of its full speed at which the task works. */
    double activity = 1.0;
};

/** The tail of `serving` grows by `tailFactor` while a task of `neighbour` works beside it. */
struct interference_change
{
    std::string serving;
    std::string neighbour;
    /** True if the pair has become known, false if it is forgotten. */
    bool known = false;
    double tailFactor = 1.0;
    /** The effect in standard errors. */
    double confidence = 0;
};

class interference_model
{
public:
    /** Learns from one list; the executor must not be known to be slow. */
    void observe(const std::string &executor, std::span<const neighbour_load> loads, time_ms now);
    /** Decides which pairs are known, and drops evidence that has aged. Returns the changes; empty if the last review was just now. */
    std::vector<interference_change> review(time_ms now);

    /** Sum of the known effects, in logarithms of the tail, between a task of the image and those that the executor has; 0 for none. */
    double harmBeside(const std::string &image, const std::map<std::string, int> &present) const;
    std::size_t knownPairs() const;
    /** Number of pairs with evidence, known or not. */
    std::size_t pairs() const;

private:
    using activities = std::map<std::string, double, std::less<>>;

    /** The latest state of a serving image on one executor. */
    struct observation
    {
        std::string executor;
        double tailLog = 0;
        activities neighbours;
        time_ms at = 0;
    };

    struct pair_state
    {
        pair_evidence evidence;
        bool known = false;
    };

    struct serving_image
    {
        /** The executors that listed the image last, the latest at the end. */
        std::deque<observation> latest;
        std::map<std::string, pair_state, std::less<>> pairs;
        time_ms observedAt = 0;
    };

    static observation observationOf(const std::string &executor, const std::string &image, std::span<const neighbour_load> loads, time_ms now);
    /** The latest observation less the mean of the others, of which there is at least one. */
    static std::pair<double, activities> differenceFromOthers(const std::deque<observation> &latest);
    serving_image &imageFor(const std::string &image, time_ms now);
    pair_evidence &evidenceFor(const std::string &serving, serving_image &state, const std::string &neighbour);
    /** Learns from the latest observation of the image. */
    void learn(const std::string &serving, serving_image &state);
    void setKnown(const std::string &serving, const std::string &neighbour, pair_state &pair, bool known, time_ms now);
    void rebuildKnown();

    std::map<std::string, serving_image> m_images;
    /** The known effects by the image of either side and that of the other. */
    std::map<std::string, std::map<std::string, double>> m_known;
    std::vector<interference_change> m_changes;
    time_ms m_reviewedAt = 0;
};

} // namespace daisypass::sched
