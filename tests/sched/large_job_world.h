#pragma once

// Test fixture for jobs of thousands of tasks: the test plays the store, batch by batch.
//
//     large_job_world story;
//     story.submit(largeJob());                          // stores all batches and answers all starts
//     story.end(0, 500);                                 // the first 500 of them end as done
//     while (story.storeBatch()) { ... check the rows after each transaction ... }

#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace daisypass::sched {

inline constexpr std::size_t maxRowBytes = 65'536;
inline constexpr std::size_t maxEntries = 100;
// The store's limit for a transaction, before base64 encoding and without its other members.
inline constexpr std::size_t maxTransactionBytes = 700'000;
inline constexpr int largeJobTasks = 3'000;

inline job_spec largeJob(int tasks = largeJobTasks)
{
    return scheduler_fixture::job("large", {scheduler_fixture::step(tasks)});
}

/** Executors with capacity for all tasks of a large job; the test plays the store, batch by batch. */
struct large_job_world
{
    explicit large_job_world(int executors = 6)
    {
        for (int i = 0; i < executors; ++i) {
            world.addExecutor("executor-" + std::to_string(i), 10'000'000);
        }
        world.storeReachable = false;
    }

    /** Stores the next batch; false if there is none. */
    bool storeBatch()
    {
        world.now += 300;
        world.taskScheduler.handle(lease_renewed{world.now}, world.now);
        world.taskScheduler.plan(world.now);
        world.collectActions();
        const std::optional<commit_batch> batch = world.taskScheduler.takeBatch(world.now);
        if (!batch) {
            return false;
        }
        std::size_t bytes = 0;
        for (const std::pair<std::string, std::string> &row : batch->rows) {
            longestRow = std::max(longestRow, row.second.size());
            bytes += row.second.size();
            world.rows[row.first] = row.second;
        }
        for (const std::string &key : batch->deletedKeys) {
            world.rows.erase(key);
        }
        mostBytes = std::max(mostBytes, bytes);
        mostEntries = std::max(mostEntries, batch->rows.size() + batch->deletedKeys.size());
        writtenBytes += bytes;
        world.taskScheduler.handle(batch_committed{batch->number}, world.now);
        world.collectActions();
        return true;
    }

    void storeAll()
    {
        while (storeBatch()) {
        }
    }

    void submit(const job_spec &job)
    {
        world.taskScheduler.handle(job_submitted{job}, world.now);
        storeAll();
        for (const start_run &order : world.take<start_run>()) {
            started.push_back(order);
            world.taskScheduler.handle(start_answered{order.task, order.run, order.executor, order_status::Ok, 10}, world.now);
        }
    }

    /** Ends the runs with these positions in `started`, and lists the others. */
    void end(std::size_t from, std::size_t to, const std::string &checkpoint = {})
    {
        std::map<std::string, std::vector<listed_end>> ends;
        std::map<std::string, std::vector<listed_run>> runs;
        for (std::size_t i = 0; i < started.size(); ++i) {
            if (i < from) {
                continue;
            }
            if (i >= to) {
                runs[started[i].executor].push_back(scheduler_fixture::running(started[i]));
                continue;
            }
            listed_end end = scheduler_fixture::ended(started[i], ++numbers[started[i].executor], checkpoint.empty() ? run_end::Done : run_end::Failed);
            end.checkpoint = checkpoint;
            ends[started[i].executor].push_back(end);
        }
        for (const std::pair<const std::string, std::vector<listed_end>> &ended : ends) {
            const std::string &executor = ended.first;
            world.taskScheduler.handle(poll_answered{executor, order_status::Ok, world.now, world.now, 1'000, runs[executor], ended.second}, world.now);
        }
    }

    scheduler_fixture world;
    std::vector<start_run> started;
    std::map<std::string, std::int64_t> numbers;
    std::size_t longestRow = 0;
    std::size_t mostBytes = 0;
    std::size_t mostEntries = 0;
    std::size_t writtenBytes = 0;
};

/** The phases of the tasks, by index, as a lease holder reads them from the rows. */
inline std::vector<task_phase> phasesIn(const scheduler_fixture &store, const job_spec &spec)
{
    job_record job(spec);
    const auto row = store.rows.find(spec.id);
    const std::map<std::string, std::string> taskRows = store.taskRowsOf(spec.id);
    if (row == store.rows.end()) {
        job.openDueOccurrences(0);
    } else {
        REQUIRE(readState(row->second, taskRows, job));
    }
    std::vector<task_phase> phases;
    const task_table &tasks = job.occurrences.at(0).steps.at(0).tasks;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        phases.push_back(tasks[index].phase);
    }
    return phases;
}

} // namespace daisypass::sched
