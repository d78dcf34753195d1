#include "sched/task_table.h"

#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <utility>

using namespace daisypass::sched;

// Guards against a lease holder that exceeds its memory because it keeps a record of each task of each accepted job.
TEST_CASE("a step keeps records of the tasks that are at work or retried only")
{
    constexpr std::size_t count = 10'000;
    task_table tasks(count);

    SUBCASE("none before its first task is placed")
    {
        CHECK(tasks.size() == count);
        CHECK(tasks[count - 1].phase == task_phase::Waiting);
        CHECK(tasks.records().empty());
    }
    SUBCASE("one for a task that is placed")
    {
        tasks.record(7).phase = task_phase::Running;
        CHECK(tasks[7].phase == task_phase::Running);
        CHECK(tasks[6].phase == task_phase::Waiting);
        CHECK(tasks.records().size() == 1);

        SUBCASE("until it is done")
        {
            tasks.finish(7);
            CHECK(tasks[7].phase == task_phase::Done);
            CHECK(tasks.records().empty());
            CHECK(tasks.firstUnfinished() == 0);
        }
        SUBCASE("and it stays as it is while the others are done")
        {
            for (std::size_t index = 0; index < count; ++index) {
                if (index != 7) {
                    tasks.finish(index);
                }
            }
            CHECK(tasks[7].phase == task_phase::Running);
            CHECK(tasks[8].phase == task_phase::Done);
            CHECK(tasks.firstUnfinished() == 7);
            tasks.finish(7);
            CHECK(tasks.firstUnfinished() == count);
        }
    }
    SUBCASE("none for a task that is only looked at, such as a gang's member whose end comes after the gang is done")
    {
        job_record job(scheduler_fixture::job("j1", {scheduler_fixture::step(4)}));
        job.openDueOccurrences(0);
        task_table &members = job.occurrences.at(0).steps.at(0).tasks;
        members.finish(2);
        const task_record *done = std::as_const(job).find({"j1", 0, 0, 2});
        REQUIRE(done != nullptr);
        CHECK(done->phase == task_phase::Done);
        CHECK(members.records().empty());
        CHECK(std::as_const(job).find({"j1", 0, 0, 4}) == nullptr);
        CHECK(std::as_const(job).find({"j1", 0, 1, 0}) == nullptr);
    }
    SUBCASE("a done task that a newer row shows as waiting is to be run again")
    {
        tasks.finish(0);
        CHECK(tasks.firstUnfinished() == 1);
        task_record &task = tasks.record(0);
        CHECK(task.phase == task_phase::Done);
        task = {};
        CHECK(tasks[0].phase == task_phase::Waiting);
        CHECK(tasks.firstUnfinished() == 0);
    }
}
