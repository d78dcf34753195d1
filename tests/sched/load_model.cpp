#include "load_model.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace daisypass::sched {
namespace {

constexpr time_ms networkMs = 2;
constexpr time_ms commitMs = 8;
constexpr time_ms planEveryMs = 5;
constexpr time_ms tickEveryMs = 25;
constexpr time_ms listEveryMs = 900;
constexpr time_ms startMs = 10'000;
constexpr double lateFactor = 3.0;
// Of the users' jobs: this share takes much longer than the others.
constexpr double longShare = 0.03;
constexpr double longFactor = 7.0;
constexpr time_ms restoreMs = 100;
constexpr int longRunningJobs = 2;
constexpr time_ms forEverMs = 1'000'000'000;

struct modelled_run
{
    task_id task;
    int run = 0;
    time_ms startedAt = 0;
    time_ms takesMs = 0;
    bool fails = false;
    bool stalls = false;
    resources demand;
    /** Part of the work that an earlier run had saved. */
    time_ms resumedMs = 0;
    bool saves = false;
};

struct modelled_executor
{
    std::string id;
    std::string vm;
    std::string pool;
    resources capacity;
    std::map<std::string, modelled_run> runs{};
    std::vector<listed_end> ends{};
    std::int64_t lastEnd = 0;
    bool failing = false;
    bool stalled = false;
    bool silent = false;
    bool gone = false;
    /** The hold that waits for an end. */
    std::function<void()> waitingHold{};
};

struct modelled_job
{
    job_spec spec;
    time_ms submittedAt = 0;
    time_ms objectiveMs = 0;
    double work = 0;
    double meanWork = 1;
    double worth = 1;
    bool hopeless = false;
    std::map<std::string, time_ms> taskMs{};
};

} // namespace

struct load_model::implementation
{
    explicit implementation(load_settings given)
        : settings(std::move(given))
        , random(settings.seed)
        , brain(limits(), {})
    {
    }

    static bounds limits()
    {
        return {};
    }

    load_settings settings;
    std::mt19937_64 random;
    scheduler brain;
    // Zero stands for "never" in the records.
    time_ms now = 1;
    std::uint64_t order = 0;

    struct timed
    {
        time_ms at;
        std::uint64_t order;
        std::function<void()> call;

        bool operator>(const timed &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    std::priority_queue<timed, std::vector<timed>, std::greater<>> events;
    std::map<std::string, modelled_executor> executors;
    std::map<std::string, std::string> executorOfVm;
    std::map<std::string, vm_entry> vms;
    std::map<std::string, modelled_job> jobs;
    std::map<std::string, std::string> rows;
    std::map<std::string, time_ms> completedAt;
    std::map<std::string, int> aliveRuns;
    load_outcome outcome;
    bool committing = false;
    int lives = 0;
    std::vector<std::string> troubled;

    void at(time_ms when, std::function<void()> call)
    {
        events.push({when, ++order, std::move(call)});
    }

    double draw(double mean, double spread)
    {
        std::lognormal_distribution<double> distribution(-spread * spread / 2, spread);
        return mean * distribution(random);
    }

    void feed(const event &what)
    {
        brain.handle(what, now);
    }

    void addExecutor(const std::string &vm, const std::string &pool)
    {
        modelled_executor executor;
        executor.id = "e" + std::to_string(++lives);
        executor.vm = vm;
        executor.pool = pool;
        executor.capacity = settings.vmCapacity;
        const auto index = std::find(troubled.begin(), troubled.end(), vm) - troubled.begin();
        executor.failing = index < settings.failingExecutors;
        executor.stalled = index >= settings.failingExecutors && index < settings.failingExecutors + settings.stalledExecutors;
        executor_entry entry;
        entry.id = executor.id;
        entry.pool = pool;
        entry.address = executor.id;
        entry.capacity = executor.capacity;
        entry.vm = vm;
        entry.bornUnixMs = now + 1;
        entry.clockMs = now;
        vms[vm] = {vm, pool, vm_state::Up, "zone", {"a"}, executor.id};
        executors[executor.id] = std::move(executor);
        feed(executor_seen{entry});
    }

    void build()
    {
        configuration_view view;
        view.version = 1;
        int vm = 0;
        for (const load_queue &queue : settings.queues) {
            queue_config config;
            config.key = {"host", "/" + queue.pool + "/"};
            config.pool = queue.pool;
            config.priority = queue.priority;
            config.maxAttempts = queue.maxAttempts;
            config.stretch = 1.6;
            config.targetDurationMs = 600;
            view.queues.push_back(config);
            view.pools.push_back({queue.pool, "/health", false, false});
        }
        view.pools.push_back({"spare", "/health", false, true});
        feed(configuration_changed{view});
        const int troubledCount = settings.failingExecutors + settings.stalledExecutors + settings.silentExecutors;
        for (int i = 0; i < troubledCount; ++i) {
            troubled.push_back("vm" + std::to_string(i * settings.vmsPerPool / 2));
        }
        for (const load_queue &queue : settings.queues) {
            for (int i = 0; i < settings.vmsPerPool; ++i) {
                addExecutor("vm" + std::to_string(vm++), queue.pool);
            }
        }
        for (int i = 0; i < settings.spareVms; ++i) {
            const std::string name = "vm" + std::to_string(vm++);
            vms[name] = {name, "spare", vm_state::Up, "zone", {"a"}, ""};
        }
        for (std::size_t queue = 0; queue < settings.queues.size(); ++queue) {
            scheduleArrival(queue, startMs);
            submitLongRunning(settings.queues[queue]);
        }
        at(startMs + settings.lengthMs / 2, [this] {
            silenceExecutors();
        });
        repeat(1, planEveryMs, [this] {
            step();
        });
        repeat(2, tickEveryMs, [this] {
            feed(lease_renewed{now});
            feed(tick{now});
            measurePools();
        });
        repeat(3, listEveryMs, [this] {
            listVms();
        });
    }

    void repeat(time_ms first, time_ms every, const std::function<void()> &call)
    {
        at(first, [this, every, call] {
            call();
            repeat(now + every, every, call);
        });
    }

    void silenceExecutors()
    {
        const int first = settings.failingExecutors + settings.stalledExecutors;
        for (std::pair<const std::string, modelled_executor> &item : executors) {
            const auto index = std::find(troubled.begin(), troubled.end(), item.second.vm) - troubled.begin();
            if (index >= first && index < static_cast<std::ptrdiff_t>(troubled.size())) {
                item.second.silent = true;
                // What ran there ends with its executor.
                for (const std::pair<const std::string, modelled_run> &run : item.second.runs) {
                    --aliveRuns[run.second.task.text()];
                }
                item.second.runs.clear();
            }
        }
    }

    void measurePools()
    {
        if (now < startMs || now > startMs + settings.lengthMs) {
            return;
        }
        for (const std::pair<const std::string, vm_entry> &vm : vms) {
            if (vm.second.pool != "spare") {
                outcome.vmSecondsInPools += static_cast<double>(tickEveryMs) / 1'000.0;
            }
        }
    }

    double rateAt(std::size_t queue, time_ms when) const
    {
        const std::size_t count = settings.queues.size();
        const std::size_t turn = static_cast<std::size_t>((when - startMs) / settings.turnMs) % count;
        return settings.queues[queue].jobsPerSecond * (turn == queue ? settings.turnFactor : 0.05);
    }

    void scheduleArrival(std::size_t queue, time_ms from)
    {
        // Thinning: candidates come at the highest rate and are kept by the current one.
        const double most = settings.queues[queue].jobsPerSecond * settings.turnFactor;
        std::exponential_distribution<double> gap(most / 1'000.0);
        const time_ms when = from + std::max<time_ms>(1, static_cast<time_ms>(gap(random)));
        if (when > startMs + settings.lengthMs) {
            return;
        }
        at(when, [this, queue, when, most] {
            std::uniform_real_distribution<double> uniform(0, 1);
            if (uniform(random) * most < rateAt(queue, when)) {
                submit(queue);
            }
            scheduleArrival(queue, when);
        });
    }

    void submitLongRunning(const load_queue &queue)
    {
        for (int i = 0; queue.longRunningTasks > 0 && i < longRunningJobs; ++i) {
            job_spec spec;
            spec.id = "long-" + queue.pool + std::to_string(i);
            spec.queue = {"host", "/" + queue.pool + "/"};
            spec.pool = queue.pool;
            step_spec step;
            step.taskCount = queue.longRunningTasks;
            step.demand = {2'700, 8'700, 0};
            step.estimateMs = 900;
            step.longRunning = true;
            step.mostPerExecutor = 1;
            step.allowedUnavailable = 1;
            spec.steps.push_back(step);
            at(startMs / 2, [this, spec] {
                feed(job_submitted{spec});
            });
        }
    }

    void submit(std::size_t index)
    {
        const load_queue &queue = settings.queues[index];
        modelled_job job;
        job.spec.id = "j" + std::to_string(jobs.size() + 1);
        job.spec.queue = {"host", "/" + queue.pool + "/"};
        job.spec.pool = queue.pool;
        job.spec.acceptedUnixMs = now;
        job.submittedAt = now;
        std::uniform_real_distribution<double> uniform(0, 1);
        job.hopeless = uniform(random) < queue.hopelessShare;
        const int steps = std::max(1, static_cast<int>(std::lround(draw(queue.stepsMean, 0.4))));
        const bool checkpointing = uniform(random) < queue.checkpointingShare;
        double chain = 0;
        for (int s = 0; s < steps; ++s) {
            step_spec step;
            step.taskCount = std::clamp(static_cast<int>(std::lround(draw(queue.tasksMean, 0.6))), 1, 32);
            step.demand = {static_cast<std::int64_t>(draw(queue.taskCpuMean, 0.45)), 3'000, 0};
            const double base = std::min(queue.taskMsMost, draw(queue.taskMsMean, 0.5) * (uniform(random) < longShare ? longFactor : 1.0));
            step.estimateMs = static_cast<std::int64_t>(draw(base, queue.estimateSpread));
            step.checkpointing = checkpointing;
            if (s > 0) {
                step.after = {s - 1};
            }
            double longest = 0;
            for (int i = 0; i < step.taskCount; ++i) {
                const double takes = draw(base, queue.taskSpread);
                job.taskMs[task_id{job.spec.id, 0, s, i}.text()] = std::max<time_ms>(20, static_cast<time_ms>(takes));
                longest = std::max(longest, takes);
                job.work += takes * static_cast<double>(step.demand.cpu) / 1e6;
            }
            chain += longest;
            job.spec.steps.push_back(step);
        }
        job.meanWork = queue.stepsMean * queue.tasksMean * queue.taskCpuMean * queue.taskMsMean / 1e6;
        job.worth = queue.worth;
        job.objectiveMs = static_cast<time_ms>(1.6 * chain + 600);
        const job_spec spec = job.spec;
        jobs[spec.id] = std::move(job);
        at(now + commitMs, [this, spec] {
            feed(job_submitted{spec});
        });
    }

    void step()
    {
        brain.plan(now);
        carryOutAll();
        if (committing) {
            return;
        }
        std::optional<commit_batch> batch = brain.takeBatch(now);
        if (!batch) {
            return;
        }
        committing = true;
        at(now + commitMs, [this, batch = std::move(*batch)] {
            committing = false;
            for (const std::pair<std::string, std::string> &row : batch.rows) {
                const bool completed = phaseIn(row.second) == "completed";
                if (completed && !completedAt.contains(row.first)) {
                    completedAt[row.first] = now;
                }
                rows[row.first] = row.second;
            }
            feed(batch_committed{batch.number});
            carryOutAll();
        });
    }

    void carryOutAll()
    {
        for (const action &next : brain.takeActions()) {
            std::visit(
                [this](const auto &one) {
                    carryOut(one);
                },
                next);
        }
    }

    void carryOut(const start_run &order_)
    {
        at(now + networkMs, [this, order_] {
            const order_status status = start(order_);
            at(now + networkMs, [this, order_, status] {
                feed(start_answered{order_.task, order_.run, order_.executor, status, now});
            });
        });
    }

    modelled_run runOf(const start_run &order_) const
    {
        modelled_run run;
        run.task = order_.task;
        run.run = order_.run;
        run.startedAt = now;
        const auto found = jobs.find(order_.task.job);
        if (found == jobs.end()) {
            run.takesMs = forEverMs;
            run.demand = {2'700, 8'700, 0};
            return run;
        }
        const modelled_job &job = found->second;
        const step_spec &step = job.spec.steps[static_cast<std::size_t>(order_.task.step)];
        run.takesMs = job.taskMs.at(order_.task.text());
        run.fails = job.hopeless;
        run.demand = step.demand;
        run.saves = step.checkpointing;
        if (!order_.checkpoint.empty()) {
            run.resumedMs = std::atoll(order_.checkpoint.c_str());
            run.takesMs = std::max<time_ms>(1, run.takesMs - run.resumedMs) + restoreMs;
        }
        return run;
    }

    order_status start(const start_run &order_)
    {
        const auto found = executors.find(order_.executor);
        if (found == executors.end() || found->second.gone || found->second.silent) {
            return order_status::Unreachable;
        }
        modelled_executor &executor = found->second;
        modelled_run run = runOf(order_);
        run.fails = run.fails || executor.failing;
        run.stalls = executor.stalled;
        if (run.fails) {
            run.takesMs /= 2;
        }
        const std::string name = order_.task.text();
        if (++aliveRuns[name] > 1) {
            ++outcome.doubleRuns;
        }
        executor.runs[name] = run;
        resources used;
        for (const std::pair<const std::string, modelled_run> &one : executor.runs) {
            used += one.second.demand;
        }
        if (!used.fitsIn(executor.capacity)) {
            ++outcome.overfull;
        }
        if (!run.stalls) {
            at(now + run.takesMs, [this, id = executor.id, name, number = run.run] {
                finish(id, name, number, run_end::Done);
            });
        }
        return order_status::Ok;
    }

    void finish(const std::string &id, const std::string &name, int number, run_end how)
    {
        const auto found = executors.find(id);
        if (found == executors.end()) {
            return;
        }
        modelled_executor &executor = found->second;
        const auto run = executor.runs.find(name);
        if (run == executor.runs.end() || run->second.run != number) {
            return;
        }
        if (how == run_end::Done && run->second.fails) {
            how = run_end::Failed;
        }
        listed_end end;
        end.number = ++executor.lastEnd;
        end.task = run->second.task;
        end.run = number;
        end.how = how;
        if (run->second.saves && how == run_end::Stopped) {
            end.checkpoint = std::to_string(run->second.resumedMs + now - run->second.startedAt);
        }
        executor.ends.push_back(end);
        executor.runs.erase(run);
        --aliveRuns[name];
        if (executor.waitingHold) {
            std::exchange(executor.waitingHold, nullptr)();
        }
    }

    void carryOut(const stop_run &order_)
    {
        at(now + networkMs, [this, order_] {
            finish(order_.executor, order_.task.text(), order_.run, run_end::Stopped);
            at(now + networkMs, [this, order_] {
                feed(stop_answered{order_.task, order_.run, order_.executor, order_status::Ok});
            });
        });
    }

    void carryOut(const hold_executor &order_)
    {
        const time_ms sentAt = now;
        at(now + networkMs, [this, order_, sentAt] {
            const auto found = executors.find(order_.executor);
            if (found == executors.end() || found->second.gone || found->second.silent) {
                at(now + 1'000, [this, order_, sentAt] {
                    feed(hold_answered{order_.executor, order_status::Unknown, sentAt, {}, {}, {}, {}});
                });
                return;
            }
            modelled_executor &executor = found->second;
            std::erase_if(executor.ends, [&](const listed_end &end) {
                return end.number <= order_.acknowledged;
            });
            if (!executor.ends.empty() || order_.waitMs == 0) {
                answerHold(order_.executor, sentAt);
                return;
            }
            const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
            executor.waitingHold = [this, id = order_.executor, sentAt, answered] {
                *answered = true;
                answerHold(id, sentAt);
            };
            at(now + order_.waitMs, [this, id = order_.executor, sentAt, answered] {
                if (!*answered) {
                    *answered = true;
                    executors.at(id).waitingHold = nullptr;
                    answerHold(id, sentAt);
                }
            });
        });
    }

    void answerHold(const std::string &id, time_ms sentAt)
    {
        const modelled_executor &executor = executors.at(id);
        if (executor.silent || executor.gone) {
            at(now + 1'000, [this, id, sentAt] {
                feed(hold_answered{id, order_status::Unknown, sentAt, {}, {}, {}, {}});
            });
            return;
        }
        hold_answered answer{id, order_status::Ok, sentAt, now, {}, {}, executor.ends};
        for (const std::pair<const std::string, modelled_run> &run : executor.runs) {
            listed_run listed;
            listed.task = run.second.task;
            listed.run = run.second.run;
            const time_ms worked = run.second.stalls ? 0 : now - run.second.startedAt;
            const time_ms all = run.second.resumedMs + run.second.takesMs;
            listed.percent = run.second.takesMs == forEverMs
                ? 100
                : static_cast<int>(std::min<time_ms>(99, 100 * (run.second.resumedMs + worked) / std::max<time_ms>(1, all)));
            answer.runs.push_back(listed);
        }
        at(now + networkMs, [this, answer = std::move(answer)] {
            feed(answer);
        });
    }

    void carryOut(const move_vm &order_)
    {
        at(now + networkMs, [this, order_] {
            vm_entry &vm = vms.at(order_.vm);
            ++outcome.moves;
            endExecutor(vm.executor);
            vm.state = vm_state::Moving;
            vm.pool = order_.pool;
            vm.executor.clear();
            feed(move_answered{order_.vm, order_.pool, fleet_status::Ok});
            at(now + 1'500, [this, order_] {
                vms.at(order_.vm).state = vm_state::Up;
                if (order_.pool != "spare") {
                    addExecutor(order_.vm, order_.pool);
                }
            });
        });
    }

    void endExecutor(const std::string &id)
    {
        const auto found = executors.find(id);
        if (found == executors.end()) {
            return;
        }
        for (const std::pair<const std::string, modelled_run> &run : found->second.runs) {
            --aliveRuns[run.second.task.text()];
        }
        found->second.runs.clear();
        found->second.gone = true;
        if (found->second.waitingHold) {
            std::exchange(found->second.waitingHold, nullptr)();
        }
        at(now + 1'000, [this, id] {
            feed(executor_gone{id});
        });
    }

    void carryOut(const upkeep_vm &)
    {
    }

    void carryOut(const pace_run &)
    {
    }

    void carryOut(const ask_advice &)
    {
    }

    void carryOut(const publish_wave &)
    {
    }

    void carryOut(const step_down &)
    {
    }

    void carryOut(const decision_note &)
    {
    }

    void listVms()
    {
        vms_listed list;
        for (const std::pair<const std::string, vm_entry> &vm : vms) {
            list.vms.push_back(vm.second);
        }
        at(now + networkMs, [this, list = std::move(list)] {
            feed(list);
        });
    }

    load_outcome run()
    {
        build();
        constexpr time_ms tailMs = 60'000;
        const time_ms end = startMs + settings.lengthMs + tailMs;
        while (!events.empty() && events.top().at <= end) {
            const timed next = events.top();
            events.pop();
            now = next.at;
            next.call();
        }
        judge();
        outcome.counts = brain.counts();
        return outcome;
    }

    void judge()
    {
        std::vector<const modelled_job *> sorted;
        for (const std::pair<const std::string, modelled_job> &job : jobs) {
            if (!job.second.hopeless) {
                sorted.push_back(&job.second);
            }
        }
        std::sort(sorted.begin(), sorted.end(), [](const modelled_job *a, const modelled_job *b) {
            return a->work > b->work;
        });
        constexpr time_ms windowMs = 2'000;
        std::map<time_ms, std::pair<double, double>> windows;
        double earned = 0;
        double owed = 0;
        for (const modelled_job *job : sorted) {
            constexpr double fixedShare = 0.3;
            constexpr double lateWorth = 0.07;
            constexpr double mostFactor = 4.0;
            const double worth = job->worth * std::min(mostFactor, fixedShare + (1 - fixedShare) * job->work / job->meanWork);
            const auto done = completedAt.find(job->spec.id);
            const double took = done == completedAt.end() ? 1e9 : static_cast<double>(done->second - job->submittedAt);
            const double objective = static_cast<double>(job->objectiveMs);
            const double credit = took <= objective ? worth : (took <= lateFactor * objective ? lateWorth * worth : 0);
            std::pair<double, double> &window = windows[job->submittedAt / windowMs];
            window.first += credit;
            window.second += worth;
            earned += credit;
            owed += worth;
        }
        outcome.earnedShare = earned / std::max(owed, 1e-9);
        std::vector<double> shares;
        for (const std::pair<const time_ms, std::pair<double, double>> &window : windows) {
            shares.push_back(window.second.first / window.second.second);
        }
        std::sort(shares.begin(), shares.end());
        outcome.worstWindowsShare = shares.size() < 2 ? 0 : (shares[0] + shares[1]) / 2;
        outcome.jobs = static_cast<int>(sorted.size());
        outcome.largest = outcome.jobs / 10;
        for (std::size_t i = 0; i < sorted.size(); ++i) {
            const modelled_job &job = *sorted[i];
            const auto done = completedAt.find(job.spec.id);
            if (done == completedAt.end()) {
                const auto row = rows.find(job.spec.id);
                const bool failed = row != rows.end() && phaseIn(row->second) == "failed";
                ++(failed ? outcome.failed : outcome.unfinished);
                continue;
            }
            const double took = static_cast<double>(done->second - job.submittedAt);
            const bool inTime = took <= static_cast<double>(job.objectiveMs);
            outcome.inObjective += inTime ? 1 : 0;
            outcome.largestInObjective += inTime && static_cast<int>(i) < outcome.largest ? 1 : 0;
            outcome.late += !inTime && took <= lateFactor * static_cast<double>(job.objectiveMs) ? 1 : 0;
        }
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

load_settings shopDay(std::uint64_t seed)
{
    load_settings settings;
    settings.seed = seed;
    load_queue booking{"booking", 7.65, 1.6, 6, 1'800, 680, 0, 4, 0.01, 0.491, 0, 0.15, 0.2, 5, 7'200};
    load_queue profiles{"profiles", 0.933, 2, 8, 3'800, 1'800, 1, 2, 0.03, 4.54, 0.8, 0.3, 0.5, 5, 19'000};
    load_queue counter{"counter", 9.56, 1.6, 6, 1'800, 680, 0, 4, 0.01, 0.491, 0, 0.15, 0.2, 5, 7'200};
    load_queue grinder{"grinder", 1.14, 2, 8, 3'800, 1'800, 1, 2, 0.03, 4.54, 0.8, 0.3, 0.5, 5, 19'000};
    settings.queues = {booking, profiles, counter, grinder};
    return settings;
}

} // namespace daisypass::sched
