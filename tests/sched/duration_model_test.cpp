#include "scheduler_fixture.h"

#include "sched/duration_model.h"

#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace daisypass::sched;

namespace {

const queue_key queue{"shop.example", "/book/"};

std::int64_t scattered(std::mt19937_64 &random, double meanMs, double deviation)
{
    return std::max<std::int64_t>(1, std::llround(meanMs * std::exp(std::normal_distribution<double>(0, deviation)(random))));
}

/** A pool with demand for more than its room, whose callers estimate badly. */
class misjudged_pool
{
public:
    explicit misjudged_pool(double error)
        : m_error(error)
        , m_random(7)
    {
        for (int i = 0; i < 4; ++i) {
            m_world.addExecutor("e" + std::to_string(i), 8'000);
        }
    }

    /** Submits jobs at this pace and plays until all are done. */
    void play(int jobs, time_ms gapMs)
    {
        int submitted = 0;
        time_ms nextAt = m_world.now;
        while (submitted < jobs || !m_open.empty()) {
            while (submitted < jobs && nextAt <= m_world.now) {
                submit();
                ++submitted;
                nextAt += gapMs;
            }
            startAndEndRuns();
            m_world.advance(10);
        }
    }

    int inObjective = 0;

private:
    struct open_job
    {
        time_ms acceptedAt = 0;
        std::int64_t workMs = 0;
        int left = 0;
    };

    struct one_run
    {
        start_run order;
        time_ms endsAt = 0;
    };

    void submit()
    {
        const std::string id = "j" + std::to_string(++m_lastJob);
        const int tasks = std::uniform_int_distribution<int>(1, 8)(m_random);
        job_spec job = scheduler_fixture::job(id, {scheduler_fixture::step(tasks)});
        const std::int64_t workMs = scattered(m_random, 600, 0.5);
        job.steps[0].estimateMs = scattered(m_random, static_cast<double>(workMs), m_error);
        m_open[id] = {m_world.now, workMs, tasks};
        m_world.taskScheduler.handle(job_submitted{job}, m_world.now);
    }

    void startAndEndRuns()
    {
        for (const start_run &order : m_world.take<start_run>()) {
            m_world.taskScheduler.handle(start_answered{order.task, order.run, order.executor, order_status::Ok, 10}, m_world.now);
            m_running[order.executor].push_back({order, m_world.now + m_open.at(order.task.job).workMs});
        }
        for (std::pair<const std::string, std::vector<one_run>> &item : m_running) {
            poll_answered answer{item.first, order_status::Ok, m_world.now, m_world.now, 1'000, {}, {}};
            for (const one_run &run : item.second) {
                if (run.endsAt > m_world.now) {
                    answer.runs.push_back(scheduler_fixture::running(run.order));
                    continue;
                }
                answer.ends.push_back(scheduler_fixture::ended(run.order, ++m_endNumbers[item.first], run_end::Done));
                finishTask(run.order.task.job);
            }
            std::erase_if(item.second, [this](const one_run &run) {
                return run.endsAt <= m_world.now;
            });
            m_world.taskScheduler.handle(answer, m_world.now);
        }
    }

    void finishTask(const std::string &id)
    {
        open_job &job = m_open.at(id);
        if (--job.left > 0) {
            return;
        }
        // The queue's stretch and target, by the work that the job really has.
        inObjective += static_cast<double>(m_world.now - job.acceptedAt) <= 1.6 * static_cast<double>(job.workMs) + 600 ? 1 : 0;
        m_open.erase(id);
    }

    double m_error;
    std::mt19937_64 m_random;
    scheduler_fixture m_world;
    std::map<std::string, open_job> m_open;
    std::map<std::string, std::vector<one_run>> m_running;
    std::map<std::string, std::int64_t> m_endNumbers;
    int m_lastJob = 0;
};

int servedInBurst(double error, bool learnBefore)
{
    constexpr int learned = 120;
    constexpr int burst = 200;
    misjudged_pool pool(error);
    if (learnBefore) {
        pool.play(learned, 150);
        pool.inObjective = 0;
    }
    pool.play(burst, 15);
    return pool.inObjective;
}

} // namespace

TEST_CASE("durations are learned where estimates are wrong")
{
    std::mt19937_64 random(1);
    duration_model model;

    SUBCASE("nothing is changed before enough steps are known")
    {
        for (int i = 0; i < 15; ++i) {
            model.add(queue, 100, 1'000);
        }
        CHECK(model.expectedMs(queue, 100) == 100);
        CHECK(model.correctedQueues() == 0);
    }
    SUBCASE("nor where the estimates are good")
    {
        for (int i = 0; i < 300; ++i) {
            const std::int64_t durationMs = scattered(random, 800, 0.5);
            model.add(queue, scattered(random, static_cast<double>(durationMs), 0.3), durationMs);
        }
        CHECK(model.expectedMs(queue, 2'000) == 2'000);
    }
    SUBCASE("estimates that are all too high are scaled")
    {
        for (int i = 0; i < 300; ++i) {
            const std::int64_t durationMs = scattered(random, 800, 0.5);
            model.add(queue, 3 * durationMs, durationMs);
        }
        CHECK(model.correctedQueues() == 1);
        CHECK(model.expectedMs(queue, 2'400) == doctest::Approx(800).epsilon(0.1));
        CHECK(model.expectedMs({"other.example", "/"}, 2'400) == 2'400);
    }
    SUBCASE("estimates that say little are drawn to what the queue's tasks take")
    {
        double wrongBefore = 0;
        double wrongAfter = 0;
        for (int i = 0; i < 600; ++i) {
            const std::int64_t durationMs = scattered(random, 800, 0.5);
            const std::int64_t estimateMs = scattered(random, static_cast<double>(durationMs), 0.9);
            if (i >= 300) {
                const double expected = static_cast<double>(model.expectedMs(queue, estimateMs));
                wrongBefore += std::abs(std::log(static_cast<double>(estimateMs) / static_cast<double>(durationMs)));
                wrongAfter += std::abs(std::log(expected / static_cast<double>(durationMs)));
            }
            model.add(queue, estimateMs, durationMs);
        }
        CHECK(wrongAfter < 0.6 * wrongBefore);
        CHECK(model.expectedMs(queue, 1) > 100);
    }
    SUBCASE("and estimates that become good are used again")
    {
        for (int i = 0; i < 300; ++i) {
            model.add(queue, 3'000, 300);
        }
        REQUIRE(model.corrects(queue));
        for (int i = 0; i < 500; ++i) {
            model.add(queue, 300, 300);
        }
        CHECK(model.expectedMs(queue, 300) == 300);
    }
}

// The load: for three seconds about twice the room that the pool has, from callers whose estimates are off by a factor of 2.5.
TEST_CASE("a burst of badly estimated jobs is served better once their durations are known")
{
    const int without = servedInBurst(0.9, false);
    const int with = servedInBurst(0.9, true);
    MESSAGE("jobs in their objective: " << without << " without, " << with << " with learned durations, of 200");
    CHECK(with > without);

    const int goodWithout = servedInBurst(0.2, false);
    const int goodWith = servedInBurst(0.2, true);
    MESSAGE("with good estimates: " << goodWithout << " and " << goodWith);
    CHECK(goodWith >= goodWithout - 10);
}
