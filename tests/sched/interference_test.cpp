#include "sched/interference.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace daisypass::sched;

namespace {

constexpr time_ms listEveryMs = 500;
constexpr double idleTailMs = 40;

/** One executor of a played pool: a task of the serving image, its speed, and the neighbours that come and go beside it. */
struct played_executor
{
    std::string id;
    /** Factor of all tails on this executor. */
    double slowness = 1.0;
    std::map<std::string, bool> neighbours;
};

/** Plays lists of executors on which image `web` serves, with the hidden effects of its neighbours. */
class played_pool
{
public:
    played_pool(std::uint64_t seed, int executors)
        : m_random(seed)
    {
        for (int number = 0; number < executors; ++number) {
            m_executors.push_back({"e" + std::to_string(number), 1.0, {}});
        }
    }

    std::vector<played_executor> &executors()
    {
        return m_executors;
    }

    /** Factors of the tail by the neighbour's image; one that is not named has none. */
    std::map<std::string, double> effects;
    /** Share of the lists after which a neighbour starts or ends on an executor. */
    double changeShare = 0.1;
    /** Standard deviation of the logarithm of each reported tail. */
    double scatter = 0.2;
    /** Factor of the tails of all executors at a time: the load. */
    std::function<double(time_ms)> load = [](time_ms) {
        return 1.0;
    };
    /** Whether a neighbour may run at a time. */
    std::function<bool(time_ms)> neighboursRun = [](time_ms) {
        return true;
    };

    void play(interference_model &model, time_ms lengthMs, const std::vector<std::string> &neighbours)
    {
        const time_ms end = now + lengthMs;
        while (now < end) {
            now += listEveryMs / static_cast<time_ms>(m_executors.size());
            played_executor &executor = m_executors[m_next++ % m_executors.size()];
            changeNeighbours(executor, neighbours);
            const std::vector<neighbour_load> loads = listOf(executor);
            model.observe(executor.id, loads, now);
            for (const interference_change &change : model.review(now)) {
                changes.push_back(change);
            }
        }
    }

    bool everKnown(const std::string &neighbour) const
    {
        return std::any_of(changes.begin(), changes.end(), [&](const interference_change &change) {
            return change.known && change.neighbour == neighbour;
        });
    }

    time_ms now = 1'000;
    std::vector<interference_change> changes;

private:
    bool draw(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
    }

    void changeNeighbours(played_executor &executor, const std::vector<std::string> &neighbours)
    {
        for (const std::string &image : neighbours) {
            if (draw(changeShare)) {
                executor.neighbours[image] = !executor.neighbours[image];
            }
            executor.neighbours[image] = executor.neighbours[image] && neighboursRun(now);
        }
    }

    std::vector<neighbour_load> listOf(const played_executor &executor)
    {
        double tail = idleTailMs * load(now) * executor.slowness * std::exp(std::normal_distribution<double>(0, scatter)(m_random));
        std::vector<neighbour_load> loads;
        for (const std::pair<const std::string, bool> &neighbour : executor.neighbours) {
            if (neighbour.second) {
                loads.push_back({neighbour.first, 0, 1.0});
                tail *= effects.contains(neighbour.first) ? effects.at(neighbour.first) : 1.0;
            }
        }
        loads.push_back({"web", std::max<std::int64_t>(1, std::llround(tail)), 1.0});
        return loads;
    }

    std::mt19937_64 m_random;
    std::vector<played_executor> m_executors;
    std::size_t m_next = 0;
};

constexpr std::uint64_t seeds = 20;

/** In how many of the seeds' pools an image became known to interfere with `web`. */
std::map<std::string, int> countKnown(time_ms lengthMs, const std::function<void(played_pool &)> &prepare)
{
    std::map<std::string, int> known;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        interference_model model;
        played_pool pool(seed, 6);
        prepare(pool);
        pool.play(model, lengthMs, {"index", "video"});
        known["index"] += pool.everKnown("index") ? 1 : 0;
        known["video"] += pool.everKnown("video") ? 1 : 0;
    }
    return known;
}

} // namespace

// Guards against a learner that misses a pair in the scatter of the reported figures, blames an image for what another does, or takes the load or
// a slow executor for a pair.
TEST_CASE("an image is known to interfere only if the tails beside it are longer than elsewhere at the same time")
{
    SUBCASE("a neighbour that doubles the tail is found, and the harmless one beside it isn't")
    {
        std::map<std::string, int> known = countKnown(25'000, [](played_pool &pool) {
            pool.effects = {{"index", 2.0}};
        });
        CHECK(known["index"] == seeds);
        CHECK(known["video"] == 0);
    }
    SUBCASE("a load that rises while neighbours run isn't taken for them")
    {
        std::map<std::string, int> known = countKnown(60'000, [](played_pool &pool) {
            pool.load = [](time_ms now) {
                return (now / 4'000) % 2 == 0 ? 1.0 : 3.0;
            };
            pool.neighboursRun = [](time_ms now) {
                return (now / 4'000) % 2 == 1;
            };
            pool.changeShare = 0.3;
        });
        CHECK(known["index"] + known["video"] == 0);
    }
    SUBCASE("a slow executor that always has the neighbour isn't taken for the neighbour's effect")
    {
        std::map<std::string, int> known = countKnown(60'000, [](played_pool &pool) {
            pool.changeShare = 0;
            pool.executors()[2].slowness = 3.0;
            pool.executors()[2].neighbours["index"] = true;
        });
        CHECK(known["index"] == 0);
    }
    SUBCASE("executors of uneven speed don't make a pair")
    {
        std::map<std::string, int> known = countKnown(60'000, [](played_pool &pool) {
            for (std::size_t number = 0; number < pool.executors().size(); ++number) {
                pool.executors()[number].slowness = 1.0 + 0.2 * static_cast<double>(number);
            }
        });
        CHECK(known["index"] + known["video"] == 0);
    }
}

// Guards against keeping images apart for an effect that has ended, which would cost room for nothing.
TEST_CASE("a known pair is forgotten when its effect ends, and when the images no longer meet")
{
    interference_model model;
    played_pool pool(7, 6);
    pool.effects = {{"index", 2.0}};
    pool.play(model, 25'000, {"index"});
    REQUIRE(model.knownPairs() == 1);
    CHECK(model.harmBeside("index", {{"web", 1}}) > 0.4);
    CHECK(model.harmBeside("web", {{"index", 1}}) > 0.4);
    CHECK(model.harmBeside("web", {{"video", 1}}) == 0);

    SUBCASE("its effect ends")
    {
        pool.effects.clear();
        pool.play(model, 40'000, {"index"});
    }
    SUBCASE("the images don't meet any more")
    {
        for (played_executor &executor : pool.executors()) {
            executor.neighbours.clear();
        }
        pool.play(model, 60'000, {});
    }
    SUBCASE("there is no list any more")
    {
        for (int review = 0; review < 60; ++review) {
            pool.now += 1'000;
            for (const interference_change &change : model.review(pool.now)) {
                pool.changes.push_back(change);
            }
        }
    }
    CHECK(model.knownPairs() == 0);
    CHECK(model.harmBeside("index", {{"web", 1}}) == 0);
    REQUIRE(!pool.changes.empty());
    CHECK(!pool.changes.back().known);
}

// Guards against a pair that is taken for harmless because its neighbour is paced down most of the time.
TEST_CASE("a neighbour that works at a part of its speed counts for that part")
{
    interference_model model;
    std::vector<interference_change> changes;
    for (time_ms now = 1'000; now < 30'000; now += listEveryMs) {
        for (int number = 0; number < 4; ++number) {
            const double activity = number < 2 ? 0.5 : 0.0;
            const std::int64_t tailMs = std::llround(idleTailMs * std::pow(4.0, activity));
            const std::vector<neighbour_load> loads{{"index", 0, activity}, {"web", tailMs, 1.0}};
            model.observe("e" + std::to_string(number), loads, now);
        }
        for (const interference_change &change : model.review(now)) {
            changes.push_back(change);
        }
    }
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].tailFactor == doctest::Approx(4.0).epsilon(0.05));
}

// Guards against a state that grows with the number of images that callers name.
TEST_CASE("the number of remembered images and pairs is bounded")
{
    interference_model model;
    time_ms now = 1'000;
    for (int round = 0; round < 200; ++round) {
        for (int number = 0; number < 4; ++number) {
            std::vector<neighbour_load> loads{{"web" + std::to_string(round), 50, 1.0}};
            for (int image = 0; image < 100; ++image) {
                loads.push_back({"n" + std::to_string(image + number), 0, 1.0});
            }
            model.observe("e" + std::to_string(number), loads, now);
            now += 10;
        }
        CHECK(model.pairs() <= maxServingImages * maxNeighboursPerImage);
    }
    for (int review = 0; review < 100; ++review) {
        now += 1'000;
        model.review(now);
    }
    CHECK(model.pairs() == 0);
}
