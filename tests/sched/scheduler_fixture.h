#pragma once

// Test fixture for the scheduler: the test plays the executors, the store and the clock, and answers each recorded action itself.
//
//     scheduler_fixture world;
//     world.addExecutor("e1");
//     const start_run order = world.placeTask("j1");
//     world.answerStart(order);
//     world.answerPoll("e1", {}, {scheduler_fixture::ended(order, 1, run_end::Done)});
//     CHECK(world.phaseOf("j1") == "completed");

#include "sched/scheduler.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace daisypass::sched {

class scheduler_fixture
{
public:
    explicit scheduler_fixture(bounds limits = {}, const term_times &term = {}, bool configured = true)
        : now(term.acquiredAt + 100)
        , taskScheduler(limits, term)
    {
        if (configured) {
            taskScheduler.handle(configuration_changed{singleQueueConfiguration()}, now);
        }
    }

    static configuration_view singleQueueConfiguration(int maxAttempts = 3)
    {
        configuration_view view;
        view.version = 1;
        queue_config queue;
        queue.key = {"shop.example", "/book/"};
        queue.pool = "booking";
        queue.maxAttempts = maxAttempts;
        queue.stretch = 1.6;
        queue.targetDurationMs = 600;
        view.queues = {queue};
        pool_config booking;
        booking.name = "booking";
        pool_config spare;
        spare.name = "spare";
        spare.spare = true;
        view.pools = {booking, spare};
        return view;
    }

    static step_spec step(int count, std::int64_t cpu = 1'000)
    {
        step_spec spec;
        spec.taskCount = count;
        spec.demand = {cpu, 100, 0};
        spec.estimateMs = 500;
        return spec;
    }

    static job_spec job(const std::string &id, std::vector<step_spec> steps)
    {
        job_spec spec;
        spec.id = id;
        spec.queue = {"shop.example", "/book/"};
        spec.pool = "booking";
        spec.payload = "payload of " + id;
        spec.steps = std::move(steps);
        return spec;
    }

    static executor_entry entry(const std::string &id, std::int64_t cpu = 4'000)
    {
        executor_entry registered;
        registered.id = id;
        registered.pool = "booking";
        registered.address = "10.0.0.1:80";
        registered.capacity = {cpu, 65'536, 0};
        registered.startedUnixMs = 1'000;
        registered.clockMs = 5;
        registered.vm = "vm-" + id;
        return registered;
    }

    /** Announces an executor and answers its first poll with an empty list, so that it takes runs. */
    void addExecutor(const std::string &id, std::int64_t cpu = 4'000)
    {
        taskScheduler.handle(executor_entry_changed{entry(id, cpu)}, now);
        planAndCommit();
        answerPoll(id);
    }

    /** Plans, collects actions and, while the store is reachable, commits every batch without delay. */
    void planAndCommit()
    {
        // The scheduler puts off a pass that follows the last one too closely.
        now += 5;
        taskScheduler.plan(now);
        collectActions();
        while (storeReachable) {
            std::optional<commit_batch> batch = taskScheduler.takeBatch(now);
            if (!batch) {
                break;
            }
            for (const std::pair<std::string, std::string> &row : batch->rows) {
                rows[row.first] = row.second;
            }
            for (const std::string &key : batch->deletedKeys) {
                rows.erase(key);
            }
            taskScheduler.handle(batch_committed{batch->number}, now);
            now += 5;
            taskScheduler.plan(now);
            collectActions();
        }
    }

    void collectActions()
    {
        for (action &next : taskScheduler.takeActions()) {
            actions.push_back(std::move(next));
        }
    }

    /** Removes the recorded actions of type T and returns them in order. */
    template<typename T>
    std::vector<T> take()
    {
        std::vector<T> found;
        std::vector<action> left;
        for (action &next : actions) {
            if (T *matching = std::get_if<T>(&next)) {
                found.push_back(std::move(*matching));
            } else {
                left.push_back(std::move(next));
            }
        }
        actions = std::move(left);
        return found;
    }

    /** Removes the only recorded start order and returns it; fails the test if there isn't exactly one. */
    start_run takeStart()
    {
        const std::vector<start_run> starts = take<start_run>();
        REQUIRE(starts.size() == 1);
        return starts[0];
    }

    /** Submits a job of one task and returns the order to start it. */
    start_run placeTask(const std::string &id, std::int64_t cpu = 1'000)
    {
        taskScheduler.handle(job_submitted{job(id, {step(1, cpu)})}, now);
        planAndCommit();
        return takeStart();
    }

    /** Like placeTask(), and answers the order: the run has started. */
    start_run runTask(const std::string &id, std::int64_t cpu = 1'000)
    {
        const start_run order = placeTask(id, cpu);
        answerStart(order);
        return order;
    }

    /** Restores a job of one task from the row that the former lease holder's scheduler stored. */
    void takeOver(const scheduler_fixture &former, const std::string &id)
    {
        REQUIRE(taskScheduler.restore(job(id, {step(1)}), former.rows.at(id), now));
    }

    void answerStart(const start_run &order, order_status status = order_status::Ok)
    {
        taskScheduler.handle(start_answered{order.task, order.run, order.executor, status, 10}, now);
        planAndCommit();
    }

    void answerPoll(const std::string &executor,
                    std::vector<listed_run> runs = {},
                    std::vector<listed_end> ends = {},
                    order_status status = order_status::Ok,
                    std::int64_t startedUnixMs = 1'000)
    {
        taskScheduler.handle(poll_answered{executor, status, now, now, startedUnixMs, std::move(runs), std::move(ends)}, now);
        planAndCommit();
    }

    static listed_run running(const start_run &order, int percent = 10)
    {
        listed_run run;
        run.task = order.task;
        run.run = order.run;
        run.percent = percent;
        return run;
    }

    static listed_end ended(const start_run &order, std::int64_t number, run_end how)
    {
        listed_end end;
        end.number = number;
        end.task = order.task;
        end.run = order.run;
        end.how = how;
        return end;
    }

    /** The stored rows with tasks of a job whose state is divided. */
    std::map<std::string, std::string> taskRowsOf(const std::string &job) const
    {
        std::map<std::string, std::string> found;
        for (const std::pair<const std::string, std::string> &row : rows) {
            if (row.first != job && jobOfRow(row.first) == job) {
                found.insert(row);
            }
        }
        return found;
    }

    std::string phaseOf(const std::string &job) const
    {
        const auto row = rows.find(job);
        return row == rows.end() ? "" : phaseIn(row->second);
    }

    void advance(time_ms ms)
    {
        now += ms;
        if (storeReachable) {
            taskScheduler.handle(lease_renewed{now}, now);
        }
        taskScheduler.handle(tick{now}, now);
        planAndCommit();
    }

    time_ms now;
    /** While false, no batch is committed and the lease isn't renewed. */
    bool storeReachable = true;
    scheduler taskScheduler;
    std::vector<action> actions;
    std::map<std::string, std::string> rows;
};

} // namespace daisypass::sched
