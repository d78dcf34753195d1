#pragma once

// Test fixture for tenants: executors that run each task for a set time, and an account of what each tenant runs that doesn't use the
// scheduler's own.
//
//     tenant_world story({tenantOf("a", 1, {2'000, 0, 0})});
//     story.world.addExecutor("e1");
//     story.submit("j1", "a", {scheduler_fixture::step(4)});
//     story.play(1'000);
//     CHECK(story.used("a").cpu == 2'000);

#include "scheduler_fixture.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace daisypass::sched {

inline tenant_config tenantOf(const std::string &name, double weight, const resources &cap = {})
{
    tenant_config tenant;
    tenant.name = name;
    tenant.keys = {"key-" + name};
    tenant.weight = weight;
    tenant.cap = cap;
    return tenant;
}

class tenant_world
{
public:
    /** Time between two lists of an executor's runs. */
    static constexpr time_ms listIntervalMs = 100;

    explicit tenant_world(std::vector<tenant_config> tenants, const term_times &term = {})
        : world({}, term)
    {
        configure(std::move(tenants));
    }

    void configure(std::vector<tenant_config> tenants)
    {
        configuration_view view = scheduler_fixture::singleQueueConfiguration();
        view.version = ++m_version;
        view.tenants = std::move(tenants);
        world.taskScheduler.handle(configuration_changed{view}, world.now);
        world.planAndCommit();
    }

    job_spec jobOf(const std::string &id, const std::string &tenant, std::vector<step_spec> steps) const
    {
        job_spec spec = scheduler_fixture::job(id, std::move(steps));
        spec.tenant = tenant;
        spec.acceptedUnixMs = world.now;
        return spec;
    }

    void submit(const std::string &id, const std::string &tenant, std::vector<step_spec> steps)
    {
        jobs.emplace(id, jobOf(id, tenant, std::move(steps)));
        world.taskScheduler.handle(job_submitted{jobs.at(id)}, world.now);
    }

    /** Announces an executor that may have runs already. */
    void announceExecutor(const std::string &id, std::int64_t cpu)
    {
        world.taskScheduler.handle(executor_entry_changed{scheduler_fixture::entry(id, cpu)}, world.now);
    }

    /** Answers all start orders, and ends each run after its task's estimate. */
    void play(time_ms forMs)
    {
        const time_ms until = world.now + forMs;
        while (world.now < until) {
            world.advance(listIntervalMs);
            answerStarts();
            listRuns();
            answerStarts();
            for (const log_event &line : world.take<log_event>()) {
                ++logged[line.event];
                noteCompletion(line);
            }
        }
    }

    /** Answers the start orders until there are no more. All answers of a round arrive at once, so that they take no time. */
    void answerStarts()
    {
        for (std::vector<start_run> starts = world.take<start_run>(); !starts.empty(); starts = world.take<start_run>()) {
            for (const start_run &order : starts) {
                const job_spec &job = jobs.at(order.task.job);
                const step_spec &step = job.steps[static_cast<std::size_t>(order.task.step)];
                m_runs[order.executor].push_back({order, job.tenant, step.demand, step.longRunning ? longestMs : world.now + step.estimateMs});
                ++started[job.tenant];
                most[job.tenant] = largerOf(most[job.tenant], used(job.tenant));
            }
            for (const start_run &order : starts) {
                world.taskScheduler.handle(start_answered{order.task, order.run, order.executor, order_status::Ok, 10}, world.now);
            }
            world.planAndCommit();
        }
    }

    resources used(const std::string &tenant) const
    {
        resources sum;
        for (const std::pair<const std::string, std::vector<present_run>> &executor : m_runs) {
            for (const present_run &run : executor.second) {
                if (run.tenant == tenant) {
                    sum += run.demand;
                }
            }
        }
        return sum;
    }

    resources usedInLedger(const std::string &tenant) const
    {
        const tenant_ledger &ledger = world.taskScheduler.tenants();
        for (std::size_t index = 0; index < ledger.count(); ++index) {
            if (ledger.nameOf(index) == tenant) {
                return ledger.usedBy(index);
            }
        }
        return {};
    }

    /** Takes over from the former holder: its jobs are restored, and its executors list the runs that they have. */
    void takeOver(const tenant_world &former)
    {
        world.now = std::max(world.now, former.world.now);
        jobs = former.jobs;
        m_runs = former.m_runs;
        m_ends = former.m_ends;
        for (const std::pair<const std::string, job_spec> &job : jobs) {
            const auto row = former.world.rows.find(job.first);
            REQUIRE(world.taskScheduler.restore(job.second, row == former.world.rows.end() ? "" : row->second, world.now));
        }
        world.rows = former.world.rows;
    }

    scheduler_fixture world;
    std::map<std::string, job_spec> jobs;
    /** Number of started tasks, and the most that ran at the same time, by tenant. */
    std::map<std::string, int> started;
    std::map<std::string, resources> most;
    /** How long completed jobs have taken in ms, by tenant. */
    std::map<std::string, std::vector<time_ms>> ages;
    /** Number of log lines by event. */
    std::map<std::string, int> logged;

private:
    static constexpr time_ms longestMs = 1'000'000'000;
    /** As in scheduler_fixture::entry(). */
    static constexpr std::int64_t startedUnixMs = 1'000;

    struct present_run
    {
        start_run order;
        std::string tenant;
        resources demand;
        time_ms endsAt = 0;
    };

    static resources largerOf(const resources &one, const resources &other)
    {
        return {std::max(one.cpu, other.cpu), std::max(one.memoryMb, other.memoryMb), std::max(one.gpu, other.gpu)};
    }

    void noteCompletion(const log_event &line)
    {
        if (line.event != "job_completed") {
            return;
        }
        std::map<std::string, std::string> fields;
        for (const std::pair<std::string, std::string> &field : line.fields) {
            fields[field.first] = field.second;
        }
        ages[jobs.at(fields.at("request")).tenant].push_back(std::stoll(fields.at("age_ms")));
    }

    void listRuns()
    {
        for (const std::pair<const std::string, executor_record> &executor : world.taskScheduler.executors()) {
            m_runs.try_emplace(executor.first);
        }
        for (std::pair<const std::string, std::vector<present_run>> &executor : m_runs) {
            std::vector<listed_run> listed;
            std::vector<listed_end> ends;
            std::erase_if(executor.second, [&](const present_run &run) {
                if (run.endsAt > world.now) {
                    listed.push_back(scheduler_fixture::running(run.order, 50));
                    return false;
                }
                ends.push_back(scheduler_fixture::ended(run.order, ++m_ends[executor.first], run_end::Done));
                return true;
            });
            world.taskScheduler.handle(poll_answered{executor.first, order_status::Ok, world.now, world.now, startedUnixMs, listed, ends}, world.now);
        }
        world.planAndCommit();
    }

    std::int64_t m_version = 1;
    std::map<std::string, std::vector<present_run>> m_runs;
    std::map<std::string, std::int64_t> m_ends;
};

} // namespace daisypass::sched
