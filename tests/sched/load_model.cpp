#include "load_model.h"

#include "load_executors.h"
#include "load_fleet.h"
#include "load_processor.h"
#include "load_timeline.h"

#include <optional>
#include <set>
#include <utility>

namespace daisypass::sched {
namespace {

constexpr time_ms commitMs = 8;
constexpr time_ms planEveryMs = 5;
constexpr time_ms tickEveryMs = 25;
constexpr time_ms listEveryMs = 900;
// Time after the last arrival in which the jobs may still end.
constexpr time_ms tailMs = 60'000;

configuration_view configurationOf(const load_settings &settings)
{
    configuration_view view;
    view.version = 1;
    std::set<std::string> pools;
    for (const load_queue &queue : settings.queues) {
        queue_config config;
        config.key = {"host", "/" + queue.name() + "/"};
        config.pool = queue.pool;
        config.priority = queue.priority;
        config.maxAttempts = queue.maxAttempts;
        config.stretch = loadObjectiveStretch;
        config.targetDurationMs = loadObjectiveTargetMs;
        view.queues.push_back(config);
        pools.insert(queue.pool);
    }
    for (const std::string &pool : pools) {
        view.pools.push_back({pool, "/health", false, false});
    }
    view.pools.push_back({sparePool, "/health", false, true});
    return view;
}

bounds boundsOf(const load_settings &settings)
{
    bounds limits;
    limits.fleetOrdersPerSecond = settings.fleetOrdersPerSecond;
    return limits;
}

} // namespace

struct load_model::implementation
{
    explicit implementation(load_settings given)
        : settings(std::move(given))
        , demand(settings)
        , processor(timeline,
                    [this] {
                        return workUs();
                    })
        , taskScheduler(boundsOf(settings),
                        {},
                        [this] {
                            return processor.microseconds();
                        })
        , executors(settings, demand, timeline, outcome, sink())
        , fleet(settings, executors, timeline, outcome, sink())
    {
    }

    load_settings settings;
    load_timeline timeline;
    load_demand demand;
    load_outcome outcome;
    load_processor processor;
    scheduler taskScheduler;
    std::int64_t messages = 0;
    load_executors executors;
    load_fleet fleet;
    ended_jobs ended;
    bool committing = false;
    bool planPosted = false;
    bool tickPosted = false;

    event_sink sink()
    {
        return [this](const event &what) {
            feed(what);
        };
    }

    void feed(const event &what)
    {
        processor.post([this, what] {
            ++messages;
            taskScheduler.handle(what, timeline.now());
        });
    }

    double workUs() const
    {
        const scheduler_counts &counts = taskScheduler.counts();
        const processor_costs &costs = settings.costs;
        return costs.message * static_cast<double>(messages) + costs.jobConsidered * static_cast<double>(counts.jobsConsidered)
            + costs.executorConsidered * static_cast<double>(counts.executorsConsidered) + costs.runChecked * static_cast<double>(counts.runsChecked)
            + costs.vmPlanned * static_cast<double>(counts.vmsPlanned);
    }

    // A timer whose last call still waits isn't due again.
    void postOnce(bool &posted, std::function<void()> call)
    {
        if (posted) {
            return;
        }
        posted = true;
        processor.post([&posted, call = std::move(call)] {
            posted = false;
            call();
        });
    }

    void build()
    {
        feed(configuration_changed{configurationOf(settings)});
        fleet.startVms();
        for (std::size_t queue = 0; queue < settings.queues.size(); ++queue) {
            scheduleArrival(queue, loadStartMs);
            for (const job_spec &spec : longRunningJobs(settings.queues[queue])) {
                submitAt(loadStartMs / 2, spec);
            }
        }
        timeline.at(loadStartMs + settings.lengthMs / 2, [this] {
            executors.disconnectExecutors();
        });
        timeline.repeat(1, planEveryMs, [this] {
            postOnce(planPosted, [this] {
                planAndCommit();
            });
        });
        timeline.repeat(2, tickEveryMs, [this] {
            accumulatePoolTime();
            executors.measureWaits();
            postOnce(tickPosted, [this] {
                taskScheduler.handle(lease_renewed{timeline.now()}, timeline.now());
                taskScheduler.handle(tick{timeline.now()}, timeline.now());
            });
        });
        timeline.repeat(3, listEveryMs, [this] {
            fleet.sendVmList();
        });
    }

    void accumulatePoolTime()
    {
        if (timeline.now() >= loadStartMs && timeline.now() <= loadStartMs + settings.lengthMs) {
            fleet.accumulatePoolTime(tickEveryMs);
        }
    }

    void scheduleArrival(std::size_t queue, time_ms from)
    {
        const std::optional<time_ms> when = demand.nextCandidateArrival(queue, from);
        if (!when) {
            return;
        }
        timeline.at(*when, [this, queue, now = *when] {
            if (demand.acceptsCandidate(queue, now)) {
                submitAt(now + commitMs, demand.submit(queue, now).spec);
            }
            scheduleArrival(queue, now);
        });
    }

    void submitAt(time_ms when, const job_spec &spec)
    {
        timeline.at(when, [this, spec] {
            feed(job_submitted{spec});
        });
    }

    void planAndCommit()
    {
        taskScheduler.plan(timeline.now());
        carryOutActions();
        if (committing) {
            return;
        }
        std::optional<commit_batch> batch = taskScheduler.takeBatch(timeline.now());
        if (!batch) {
            return;
        }
        committing = true;
        timeline.at(commitEnd(), [this, batch = std::move(*batch)] {
            for (const std::pair<std::string, std::string> &row : batch.rows) {
                recordJobEnd(row.first, row.second);
            }
            processor.post([this, number = batch.number] {
                committing = false;
                ++messages;
                taskScheduler.handle(batch_committed{number}, timeline.now());
                planAndCommit();
            });
        });
    }

    // When a transaction that is sent now is answered.
    time_ms commitEnd() const
    {
        const time_ms outageBegin = loadStartMs + settings.storeOutageAt;
        const time_ms outageEnd = outageBegin + settings.storeOutageMs;
        const bool away = timeline.now() >= outageBegin && timeline.now() < outageEnd;
        return (away ? outageEnd : timeline.now()) + commitMs;
    }

    void recordJobEnd(const std::string &job, const std::string &row)
    {
        const std::string phase = phaseIn(row);
        if (phase == "completed") {
            ended.completedAt.emplace(job, timeline.now());
        } else if (phase == "failed") {
            ended.failed.insert(job);
        } else {
            return;
        }
        executors.jobEnded(job);
    }

    void carryOutActions()
    {
        for (const action &next : taskScheduler.takeActions()) {
            messages += std::holds_alternative<log_event>(next) ? 0 : 1;
            std::visit(
                [this](const auto &one) {
                    carryOut(one);
                },
                next);
        }
    }

    void carryOut(const start_run &order)
    {
        executors.carryOut(order);
    }

    void carryOut(const stop_run &order)
    {
        executors.carryOut(order);
    }

    void carryOut(const poll_executor &order)
    {
        executors.carryOut(order);
    }

    void carryOut(const move_vm &order)
    {
        fleet.carryOut(order);
    }

    void carryOut(const maintain_vm &)
    {
    }

    void carryOut(const throttle_run &)
    {
    }

    void carryOut(const request_advice &)
    {
    }

    void carryOut(const delete_submissions &order)
    {
        feed(submissions_deleted{order.jobs});
    }

    void carryOut(const publish_wave &)
    {
    }

    void carryOut(const step_down &)
    {
    }

    void carryOut(const log_event &)
    {
    }

    load_outcome run()
    {
        build();
        timeline.runUntil(loadStartMs + settings.lengthMs + tailMs);
        executors.settleWaits();
        evaluateJobs(demand.jobs(), ended, outcome);
        outcome.counts = taskScheduler.counts();
        outcome.longestWaitMs = processor.longestWaitMs();
        return outcome;
    }
};

load_model::load_model(load_settings settings)
    : m_implementation(std::make_unique<implementation>(std::move(settings)))
{
}

load_model::~load_model() = default;

load_outcome load_model::run()
{
    return m_implementation->run();
}

} // namespace daisypass::sched
