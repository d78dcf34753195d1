#include "scheduler_fixture.h"

using namespace daisypass::sched;

// Guards against a best-effort run that stays at the share to which a former lease holder has limited it: the next one took it for a run
// at full speed, sent no order and stopped it as stalled.
TEST_CASE("a best-effort run of a former lease holder gets an order for its speed")
{
    scheduler_fixture former;
    former.addExecutor("e1");
    step_spec fill = scheduler_fixture::step(1);
    fill.bestEffortCpu = true;
    former.taskScheduler.handle(job_submitted{scheduler_fixture::job("fill", {fill})}, former.now);
    former.planAndCommit();
    const start_run order = former.takeStart();
    former.answerStart(order);
    former.answerPoll("e1", {scheduler_fixture::running(order)});
    CHECK(former.take<throttle_run>().empty());

    scheduler_fixture next({}, term_times{former.now, 0});
    REQUIRE(next.taskScheduler.restore(scheduler_fixture::job("fill", {fill}), former.rows.at("fill"), next.now));
    next.taskScheduler.handle(executor_entry_changed{scheduler_fixture::entry("e1")}, next.now);
    next.planAndCommit();
    next.answerPoll("e1", {scheduler_fixture::running(order)});
    const std::vector<throttle_run> sent = next.take<throttle_run>();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].percent == 100);

    next.answerPoll("e1", {scheduler_fixture::running(order)});
    CHECK(next.take<throttle_run>().empty());
}
