#include "sched/interference.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace daisypass::sched {
namespace {

// Executors list their runs within 700 ms; older figures may be from another load.
constexpr time_ms freshMs = 1'000;
// An observation is compared with at most this many others, which bounds the work for one list in a large fleet.
constexpr std::size_t maxOthers = 8;
// Limit of a sample's difference between logarithms (a factor of 8), so that a single figure doesn't decide.
constexpr double maxTailLog = 2.08;
// Differences in activity below this show nothing.
constexpr double minActivity = 0.05;
// More tasks of one image on an executor count as this many.
constexpr double maxActivity = 4.0;
// A pair is known from this effect (a tail that is longer by a quarter) and confidence on, and forgotten below the lower ones. Many
// pairs are judged again and again, so the confidence is higher than a single judgement would need.
constexpr double knownEffect = 0.22;
constexpr double forgottenEffect = 0.1;
constexpr double knownConfidence = 4.0;
constexpr double forgottenConfidence = 1.5;
// Sum of squared activities from which on a pair may become known.
constexpr double minKnownWeight = 1.0;
// A pair that shows on one executor only may be due to that executor.
constexpr int minGroupsBeside = 2;
// Evidence below this weight is dropped.
constexpr double droppedWeight = 0.05;
constexpr time_ms reviewIntervalMs = 500;

bool shouldBeKnown(const pair_evidence &evidence, bool known, time_ms now)
{
    if (known) {
        return evidence.effect() >= forgottenEffect && evidence.confidence(now) >= forgottenConfidence;
    }
    const bool enough = evidence.weight(now) >= minKnownWeight && evidence.groupsBeside() >= minGroupsBeside;
    return enough && evidence.effect() >= knownEffect && evidence.confidence(now) >= knownConfidence;
}

} // namespace

bool mayInterfere(const step_spec &step)
{
    return !step.image.empty() && (step.bestEffortCpu || step.latencyTargetMs > 0);
}

// Several tasks of the image on one executor count as one, with their mean; each of them is a neighbour of the others.
interference_model::observation
interference_model::observationOf(const std::string &executor, const std::string &image, std::span<const neighbour_load> loads, time_ms now)
{
    observation seen;
    seen.executor = executor;
    seen.at = now;
    int serving = 0;
    for (const neighbour_load &load : loads) {
        if (load.image == image && load.tailMs > 0) {
            seen.tailLog += std::log(static_cast<double>(load.tailMs));
            ++serving;
        }
        seen.neighbours[load.image] += load.activity;
    }
    seen.tailLog /= std::max(1, serving);
    seen.neighbours[image] -= 1;
    for (std::pair<const std::string, double> &neighbour : seen.neighbours) {
        neighbour.second = std::clamp(neighbour.second, 0.0, maxActivity);
    }
    return seen;
}

void interference_model::observe(const std::string &executor, std::span<const neighbour_load> loads, time_ms now)
{
    std::set<std::string> serving;
    for (const neighbour_load &load : loads) {
        if (load.tailMs > 0) {
            serving.insert(load.image);
        }
    }
    for (const std::string &image : serving) {
        serving_image &state = imageFor(image, now);
        std::erase_if(state.latest, [&](const observation &other) {
            return other.executor == executor || other.at + freshMs < now;
        });
        state.latest.push_back(observationOf(executor, image, loads, now));
        if (state.latest.size() > 1) {
            learn(image, state);
        }
        if (state.latest.size() > maxOthers) {
            state.latest.pop_front();
        }
    }
}

std::pair<double, interference_model::activities> interference_model::differenceFromOthers(const std::deque<observation> &latest)
{
    const double share = 1.0 / static_cast<double>(latest.size() - 1);
    double tailLog = latest.back().tailLog;
    activities difference = latest.back().neighbours;
    for (auto other = latest.begin(); other != std::prev(latest.end()); ++other) {
        tailLog -= share * other->tailLog;
        for (const std::pair<const std::string, double> &neighbour : other->neighbours) {
            difference[neighbour.first] -= share * neighbour.second;
        }
    }
    return {std::clamp(tailLog, -maxTailLog, maxTailLog), std::move(difference)};
}

// What known neighbours explain is taken off, so that an image isn't blamed for another that often runs beside it.
void interference_model::learn(const std::string &serving, serving_image &state)
{
    const observation &own = state.latest.back();
    const std::pair<double, activities> difference = differenceFromOthers(state.latest);
    double unexplained = difference.first;
    activities explained;
    for (const std::pair<const std::string, double> &neighbour : difference.second) {
        const auto pair = state.pairs.find(neighbour.first);
        if (pair != state.pairs.end() && pair->second.known) {
            explained[neighbour.first] = pair->second.evidence.effect() * neighbour.second;
            unexplained -= explained[neighbour.first];
        }
    }
    const std::size_t group = std::hash<std::string>{}(own.executor) % evidenceGroups;
    for (const std::pair<const std::string, double> &neighbour : difference.second) {
        if (std::abs(neighbour.second) < minActivity) {
            continue;
        }
        const auto byItself = explained.find(neighbour.first);
        const auto ownActivity = own.neighbours.find(neighbour.first);
        pair_sample sample;
        sample.tailLog = unexplained + (byItself == explained.end() ? 0 : byItself->second);
        sample.activity = neighbour.second;
        sample.group = group;
        sample.beside = ownActivity != own.neighbours.end() && ownActivity->second > minActivity;
        evidenceFor(serving, state, neighbour.first).add(sample, own.at);
    }
}

// The image that was observed longest ago makes room for another.
interference_model::serving_image &interference_model::imageFor(const std::string &image, time_ms now)
{
    if (!m_images.contains(image) && m_images.size() >= maxServingImages) {
        const auto oldest = std::min_element(m_images.begin(), m_images.end(), [](const auto &a, const auto &b) {
            return a.second.observedAt < b.second.observedAt;
        });
        for (std::pair<const std::string, pair_state> &pair : oldest->second.pairs) {
            setKnown(oldest->first, pair.first, pair.second, false, now);
        }
        m_images.erase(oldest);
    }
    serving_image &state = m_images[image];
    state.observedAt = now;
    return state;
}

// The pair with the oldest evidence makes room for another.
pair_evidence &interference_model::evidenceFor(const std::string &serving, serving_image &state, const std::string &neighbour)
{
    if (!state.pairs.contains(neighbour) && state.pairs.size() >= maxNeighboursPerImage) {
        const auto oldest = std::min_element(state.pairs.begin(), state.pairs.end(), [](const auto &a, const auto &b) {
            return a.second.evidence.updatedAt() < b.second.evidence.updatedAt();
        });
        setKnown(serving, oldest->first, oldest->second, false, state.observedAt);
        state.pairs.erase(oldest);
    }
    return state.pairs[neighbour].evidence;
}

void interference_model::setKnown(const std::string &serving, const std::string &neighbour, pair_state &pair, bool known, time_ms now)
{
    if (pair.known == known) {
        return;
    }
    pair.known = known;
    m_changes.push_back({serving, neighbour, known, std::exp(pair.evidence.effect()), pair.evidence.confidence(now)});
}

std::vector<interference_change> interference_model::review(time_ms now)
{
    if (now - m_reviewedAt < reviewIntervalMs) {
        return {};
    }
    m_reviewedAt = now;
    for (std::pair<const std::string, serving_image> &image : m_images) {
        for (std::pair<const std::string, pair_state> &pair : image.second.pairs) {
            setKnown(image.first, pair.first, pair.second, shouldBeKnown(pair.second.evidence, pair.second.known, now), now);
        }
        std::erase_if(image.second.pairs, [now](const std::pair<const std::string, pair_state> &pair) {
            return pair.second.evidence.weight(now) < droppedWeight;
        });
    }
    std::erase_if(m_images, [now](const std::pair<const std::string, serving_image> &image) {
        return image.second.pairs.empty() && image.second.observedAt + evidenceHalfLifeMs < now;
    });
    rebuildKnown();
    return std::exchange(m_changes, {});
}

void interference_model::rebuildKnown()
{
    m_known.clear();
    for (const std::pair<const std::string, serving_image> &image : m_images) {
        for (const std::pair<const std::string, pair_state> &pair : image.second.pairs) {
            if (!pair.second.known) {
                continue;
            }
            m_known[image.first][pair.first] += pair.second.evidence.effect();
            if (image.first != pair.first) {
                m_known[pair.first][image.first] += pair.second.evidence.effect();
            }
        }
    }
}

double interference_model::harmBeside(const std::string &image, const std::map<std::string, int> &present) const
{
    const auto partners = m_known.find(image);
    if (partners == m_known.end()) {
        return 0;
    }
    double harm = 0;
    for (const std::pair<const std::string, double> &partner : partners->second) {
        const auto count = present.find(partner.first);
        harm += count == present.end() ? 0 : partner.second * count->second;
    }
    return harm;
}

std::size_t interference_model::knownPairs() const
{
    std::size_t count = 0;
    for (const std::pair<const std::string, serving_image> &image : m_images) {
        count += static_cast<std::size_t>(std::count_if(image.second.pairs.begin(), image.second.pairs.end(), [](const auto &pair) {
            return pair.second.known;
        }));
    }
    return count;
}

std::size_t interference_model::pairs() const
{
    std::size_t count = 0;
    for (const std::pair<const std::string, serving_image> &image : m_images) {
        count += image.second.pairs.size();
    }
    return count;
}

} // namespace daisypass::sched
