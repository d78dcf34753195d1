#include "interference_world.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace daisypass::sched {
namespace {

constexpr time_ms stepMs = 20;
constexpr std::int64_t executorCpu = 16'000;
// More than half of an executor, so that each has one serving task.
constexpr std::int64_t servingCpu = 9'000;
constexpr std::int64_t fillCpu = 3'000;
// An executor's memory holds four of them beside a serving task.
constexpr std::int64_t fillMemoryMb = 15'000;
constexpr double fillWorkMs = 2'500;
constexpr double idleTailMs = 40;
constexpr std::int64_t targetMs = 100;
// Standard deviation of the logarithm of a listed tail.
constexpr double listScatter = 0.15;
constexpr double loadPeriodMs = 15'000;
constexpr double loadSwing = 0.3;
constexpr const char *servingImages[] = {"web", "search"};
constexpr const char *fillImages[] = {"index", "video"};

} // namespace

interference_world::interference_world(const interference_settings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_holder(std::make_unique<scheduler_fixture>())
{
    for (int number = 0; number < 2 * settings.executorsPerImage; ++number) {
        m_executors["e" + std::to_string(number)] = {};
    }
    announceExecutors();
    for (const char *image : servingImages) {
        submitServing(image);
    }
}

void interference_world::announceExecutors()
{
    for (const std::pair<const std::string, played_executor> &executor : m_executors) {
        m_holder->taskScheduler.handle(executor_entry_changed{scheduler_fixture::entry(executor.first, executorCpu)}, m_holder->now);
    }
    m_holder->planAndCommit();
}

void interference_world::submit(const std::string &id, const step_spec &step, const std::string &image)
{
    job_spec job = scheduler_fixture::job(id, {step});
    if (m_settings.imagesNamed) {
        job.steps[0].image = image;
    }
    m_images[id] = image;
    m_jobs[id] = job;
    m_holder->taskScheduler.handle(job_submitted{job}, m_holder->now);
}

void interference_world::submitServing(const std::string &image)
{
    step_spec step = scheduler_fixture::step(m_settings.executorsPerImage, servingCpu);
    step.longRunning = true;
    step.latencyTargetMs = targetMs;
    step.maxTasksPerExecutor = 1;
    submit(image, step, image);
}

void interference_world::submitFill(time_ms now)
{
    if (now < m_nextFillAt) {
        return;
    }
    m_nextFillAt = now + m_settings.fillEveryMs;
    step_spec step = scheduler_fixture::step(1, fillCpu);
    step.demand.memoryMb = fillMemoryMb;
    step.estimateMs = static_cast<std::int64_t>(fillWorkMs);
    step.bestEffortCpu = true;
    const std::string image = fillImages[std::uniform_int_distribution<int>(0, 1)(m_random)];
    submit("fill" + std::to_string(m_outcome.fillsSubmitted++), step, image);
    m_outcome.fillWorkMs += fillWorkMs;
}

// The next holder knows the jobs and runs from the stored rows, and nothing of what the former one has learned.
void interference_world::takeOver()
{
    m_outcome.keptApart += m_holder->taskScheduler.counts().placementsKeptApart;
    std::unique_ptr<scheduler_fixture> next = std::make_unique<scheduler_fixture>(bounds{}, term_times{m_holder->now, 0});
    next->rows = m_holder->rows;
    for (const std::pair<const std::string, job_spec> &job : m_jobs) {
        const auto row = next->rows.find(job.first);
        REQUIRE(next->taskScheduler.restore(job.second, row == next->rows.end() ? "" : row->second, next->now));
    }
    m_holder = std::move(next);
    m_outcome.eventsBeforeTakeover = m_outcome.events.size();
    for (std::pair<const std::string, played_executor> &executor : m_executors) {
        executor.second.answerAt = 0;
    }
    announceExecutors();
}

void interference_world::play(time_ms lengthMs)
{
    m_startedAt = m_holder->now;
    bool takeoverDue = m_settings.takeoverAt > 0;
    while (m_holder->now < m_startedAt + lengthMs) {
        const time_ms before = m_holder->now;
        if (takeoverDue && before - m_startedAt >= m_settings.takeoverAt) {
            takeoverDue = false;
            takeOver();
        }
        submitFill(before);
        m_holder->advance(stepMs);
        carryOutActions();
        answerDuePolls();
        work(m_holder->now - before);
    }
    m_outcome.keptApart += m_holder->taskScheduler.counts().placementsKeptApart;
}

void interference_world::carryOutActions()
{
    std::vector<action> actions = std::exchange(m_holder->actions, {});
    for (action &next : actions) {
        if (const start_run *order = std::get_if<start_run>(&next)) {
            start(*order);
        } else if (const stop_run *order = std::get_if<stop_run>(&next)) {
            stop(*order);
        } else if (const poll_executor *order = std::get_if<poll_executor>(&next)) {
            poll(*order);
        } else if (const throttle_run *order = std::get_if<throttle_run>(&next)) {
            pace(*order);
        } else if (log_event *event = std::get_if<log_event>(&next)) {
            m_outcome.events.push_back(std::move(*event));
        }
    }
}

void interference_world::start(const start_run &order)
{
    played_run run;
    run.order = order;
    run.image = m_images.at(order.task.job);
    run.serves = m_jobs.at(order.task.job).steps[0].longRunning;
    run.workLeftMs = fillWorkMs;
    m_executors.at(order.executor).runs.push_back(run);
    m_holder->taskScheduler.handle(start_answered{order.task, order.run, order.executor, order_status::Ok, m_holder->now}, m_holder->now);
}

void interference_world::stop(const stop_run &order)
{
    played_executor &executor = m_executors.at(order.executor);
    const auto run = std::find_if(executor.runs.begin(), executor.runs.end(), [&](const played_run &one) {
        return one.order.task == order.task && one.order.run == order.run;
    });
    if (run != executor.runs.end()) {
        executor.ends.push_back(scheduler_fixture::ended(run->order, ++executor.endsSoFar, run_end::Stopped));
        executor.runs.erase(run);
    }
    m_holder->taskScheduler.handle(stop_answered{order.task, order.run, order.executor, order_status::Ok}, m_holder->now);
}

void interference_world::poll(const poll_executor &order)
{
    played_executor &executor = m_executors.at(order.executor);
    std::erase_if(executor.ends, [&](const listed_end &end) {
        return end.number <= order.acknowledged;
    });
    executor.polledAt = m_holder->now;
    executor.answerAt = m_holder->now + (executor.ends.empty() ? order.waitMs : 0);
}

void interference_world::pace(const throttle_run &order)
{
    for (played_run &run : m_executors.at(order.executor).runs) {
        if (run.order.task == order.task && run.order.run == order.run) {
            run.pacePercent = order.percent;
        }
    }
}

void interference_world::answerDuePolls()
{
    for (std::pair<const std::string, played_executor> &executor : m_executors) {
        played_executor &state = executor.second;
        if (state.answerAt == 0 || state.answerAt > m_holder->now) {
            continue;
        }
        state.answerAt = 0;
        std::vector<listed_run> runs;
        for (const played_run &run : state.runs) {
            runs.push_back(listingOf(run));
        }
        m_holder->taskScheduler.handle(poll_answered{executor.first, order_status::Ok, state.polledAt, m_holder->now, 1'000, std::move(runs), state.ends},
                                       m_holder->now);
    }
}

listed_run interference_world::listingOf(const played_run &run)
{
    listed_run listed = scheduler_fixture::running(run.order);
    if (run.serves) {
        listed.percent = 100;
        listed.load = std::llround(run.tailMs * std::exp(std::normal_distribution<double>(0, listScatter)(m_random)));
    } else {
        listed.percent = static_cast<int>(99 * (1 - run.workLeftMs / fillWorkMs));
        listed.load = std::llround(run.activity * static_cast<double>(fillCpu));
    }
    return listed;
}

void interference_world::work(time_ms elapsedMs)
{
    for (std::pair<const std::string, played_executor> &executor : m_executors) {
        workOn(executor.second, static_cast<double>(elapsedMs));
    }
}

void interference_world::workOn(played_executor &executor, double elapsedMs)
{
    const auto fills = std::count_if(executor.runs.begin(), executor.runs.end(), [](const played_run &run) {
        return !run.serves;
    });
    const double share = static_cast<double>(executorCpu - servingCpu) / static_cast<double>(fillCpu * std::max<std::int64_t>(1, fills));
    for (played_run &run : executor.runs) {
        run.activity = run.serves ? 1.0 : std::min(1.0, share) * run.pacePercent / 100.0;
    }
    for (played_run &run : executor.runs) {
        if (run.serves) {
            run.tailMs = tailOf(executor, run);
            m_outcome.servingMs += elapsedMs;
            m_outcome.overTargetMs += run.tailMs > static_cast<double>(targetMs) ? elapsedMs : 0;
            continue;
        }
        const double done = std::min(run.workLeftMs, elapsedMs * run.activity);
        run.workLeftMs -= done;
        m_outcome.fillWorkDoneMs += done;
        if (run.workLeftMs <= 0) {
            executor.ends.push_back(scheduler_fixture::ended(run.order, ++executor.endsSoFar, run_end::Done));
            executor.answerAt = executor.answerAt == 0 ? 0 : m_holder->now;
            ++m_outcome.fillsDone;
        }
    }
    std::erase_if(executor.runs, [](const played_run &run) {
        return !run.serves && run.workLeftMs <= 0;
    });
}

double interference_world::tailOf(const played_executor &executor, const played_run &run) const
{
    double tail = idleTailMs * loadFactor();
    for (const played_run &other : executor.runs) {
        const auto effect = effects.find({run.image, other.image});
        if (effect != effects.end() && other.order.task.text() != run.order.task.text()) {
            tail *= std::pow(effect->second, other.activity);
        }
    }
    return tail;
}

// The load of all serving tasks rises and falls together.
double interference_world::loadFactor() const
{
    const double phase = 2 * std::numbers::pi * static_cast<double>(m_holder->now - m_startedAt) / loadPeriodMs;
    return 1.0 + loadSwing * std::sin(phase);
}

} // namespace daisypass::sched
