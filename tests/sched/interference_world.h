#pragma once

// A played pool in which tasks that serve and tasks that use idle processor time share executors, and some images disturb others.
//
//     interference_world world({.imagesNamed = true});
//     world.play(60'000);
//     CHECK(world.outcome().shareOverTarget() < 0.1);
//
// The real scheduler places, polls and paces on virtual time; the world plays the executors. Tails follow the hidden effects of pairs.

#include "scheduler_fixture.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace daisypass::sched {

struct interference_settings
{
    std::uint64_t seed = 1;
    /** Whether the steps name their images. The hidden effects are the same without. */
    bool imagesNamed = true;
    /** Executors that have a serving task of each of the two images. */
    int executorsPerImage = 4;
    /** Time between two fill jobs of one task each. */
    time_ms fillEveryMs = 400;
    /** When the lease passes to another holder; 0 for never. */
    time_ms takeoverAt = 0;
};

struct interference_outcome
{
    double servingMs = 0;
    double overTargetMs = 0;
    int fillsSubmitted = 0;
    int fillsDone = 0;
    /** Work of the best-effort tasks at full speed, in ms: submitted and done. */
    double fillWorkMs = 0;
    double fillWorkDoneMs = 0;
    /** Sum over all holders. */
    std::int64_t keptApart = 0;
    std::vector<log_event> events{};
    /** How many of the events came before the takeover. */
    std::size_t eventsBeforeTakeover = 0;

    double shareOverTarget() const
    {
        return overTargetMs / servingMs;
    }
    double shareOfFillWork() const
    {
        return fillWorkDoneMs / fillWorkMs;
    }
};

class interference_world
{
public:
    explicit interference_world(const interference_settings &settings);

    void play(time_ms lengthMs);
    /** Hidden: the factor by which a task of the second image lengthens the tail of the first, at full speed. */
    std::map<std::pair<std::string, std::string>, double> effects;
    const interference_outcome &outcome() const
    {
        return m_outcome;
    }
    const scheduler &holder() const
    {
        return m_holder->taskScheduler;
    }

private:
    struct played_run
    {
        start_run order;
        std::string image;
        bool serves = false;
        double workLeftMs = 0;
        int pacePercent = 100;
        double activity = 0;
        double tailMs = 0;
    };

    struct played_executor
    {
        std::vector<played_run> runs;
        std::vector<listed_end> ends;
        std::int64_t endsSoFar = 0;
        /** When the poll that waits was sent, and when it is answered; 0 for none. */
        time_ms polledAt = 0;
        time_ms answerAt = 0;
    };

    void submit(const std::string &id, const step_spec &step, const std::string &image);
    void submitServing(const std::string &image);
    void submitFill(time_ms now);
    void takeOver();
    void announceExecutors();
    void carryOutActions();
    void start(const start_run &order);
    void stop(const stop_run &order);
    void poll(const poll_executor &order);
    void pace(const throttle_run &order);
    void answerDuePolls();
    void work(time_ms elapsedMs);
    void workOn(played_executor &executor, double elapsedMs);
    double tailOf(const played_executor &executor, const played_run &run) const;
    listed_run listingOf(const played_run &run);
    double loadFactor() const;

    interference_settings m_settings;
    interference_outcome m_outcome;
    std::mt19937_64 m_random;
    std::unique_ptr<scheduler_fixture> m_holder;
    std::map<std::string, played_executor> m_executors;
    std::map<std::string, job_spec> m_jobs;
    std::map<std::string, std::string> m_images;
    time_ms m_startedAt = 0;
    time_ms m_nextFillAt = 0;
};

} // namespace daisypass::sched
