#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace daisypass::sched;

namespace {

job_spec repeatingJob(int occurrences, std::int64_t intervalMs)
{
    job_spec spec = scheduler_fixture::job("often", {scheduler_fixture::step(10)});
    spec.repeatCount = occurrences;
    spec.firstAtUnixMs = 1'000;
    spec.intervalMs = intervalMs;
    return spec;
}

std::size_t openTasks(const job_record &job)
{
    std::size_t tasks = 0;
    for (const std::pair<const int, occurrence_record> &occurrence : job.occurrences) {
        for (const step_record &step : occurrence.second.steps) {
            tasks += step.tasks.size();
        }
    }
    return tasks;
}

} // namespace

// Guards against a job whose occurrences take more memory than a lease holder has.
TEST_CASE("occurrences that are due faster than they can run")
{
    constexpr std::size_t tasksOfOne = 10;
    job_record job(repeatingJob(20'000, 0));
    job.openDueOccurrences(1'000'000);
    CHECK(openTasks(job) < occurrenceWindowTasks + tasksOfOne);
    CHECK(openTasks(job) >= occurrenceWindowTasks);

    SUBCASE("are opened when earlier ones have finished")
    {
        const int before = job.occurrences.rbegin()->first;
        for (step_record &step : job.occurrences.at(0).steps) {
            step.done = static_cast<int>(step.tasks.size());
            step.waiting = 0;
        }
        CHECK_FALSE(job.dropFinished());
        job.openDueOccurrences(1'000'000);
        CHECK(job.occurrences.rbegin()->first == before + 1);
    }
    SUBCASE("are opened when earlier ones have begun, which need no more placements")
    {
        const int before = job.occurrences.rbegin()->first;
        for (const int number : {0, 1, 2}) {
            job.occurrences.at(number).steps[0].waiting = 0;
        }
        job.openDueOccurrences(1'000'000);
        CHECK(job.occurrences.rbegin()->first == before + 3);
    }
    SUBCASE("are all open again for the next lease holder")
    {
        const int last = job.occurrences.rbegin()->first;
        task_record &task = *job.find({"often", last, 0, 3});
        task.phase = task_phase::Done;
        task.run = 1;
        job_record restored(job.spec);
        REQUIRE(readState(writeState(job), restored));
        REQUIRE(restored.find({"often", last, 0, 3}) != nullptr);
        CHECK(restored.find({"often", last, 0, 3})->phase == task_phase::Done);
    }
}
