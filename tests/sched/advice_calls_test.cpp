#include "scheduler_fixture.h"

#include "sched/advice_calls.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace daisypass::sched;

namespace {

const task_id anyStep{"j1", 0, 0, 0};
constexpr advice_cost knownCost{150, 2};

/** An advice service that answers one call after the other, also those that their sender has given up, and refuses calls when 32 wait. */
class serial_advice_service
{
public:
    explicit serial_advice_service(const advice_cost &cost)
        : m_cost(cost)
    {
    }

    void take(const request_advice &request, time_ms now)
    {
        constexpr std::size_t mostWaiting = 32;
        const bool refused = m_queue.size() >= mostWaiting;
        const time_ms beginsAt = m_queue.empty() ? now : std::max(now, m_queue.back().answeredAt);
        const time_ms tookMs = m_cost.decideMs + m_cost.eachMs * static_cast<time_ms>(request.executors.size());
        if (refused) {
            m_refused.push_back(request);
            return;
        }
        m_longestCallMs = std::max(m_longestCallMs, tookMs);
        m_queue.push_back({request, now + request.waitMs, beginsAt + tookMs});
    }

    /** The answers, and the ends of calls whose sender has stopped waiting, until now. */
    std::vector<advice_answered> takeAnswers(time_ms now)
    {
        std::vector<advice_answered> answers;
        for (const request_advice &request : std::exchange(m_refused, {})) {
            answers.push_back(answerTo(request, order_status::Unhealthy));
        }
        for (call &next : m_queue) {
            if (!next.givenUp && next.givenUpAt <= std::min(now, next.answeredAt)) {
                next.givenUp = true;
                answers.push_back(answerTo(next.request, order_status::Unknown));
            }
        }
        while (!m_queue.empty() && m_queue.front().answeredAt <= now) {
            if (!m_queue.front().givenUp) {
                answers.push_back(answerTo(m_queue.front().request, order_status::Ok));
            }
            m_queue.pop_front();
        }
        return answers;
    }

    /** Whoever asked has gone; the service goes on with its calls. */
    void forgetSenders()
    {
        for (call &next : m_queue) {
            next.givenUp = true;
        }
    }

    time_ms longestCallMs() const
    {
        return m_longestCallMs;
    }

private:
    struct call
    {
        request_advice request;
        time_ms givenUpAt = 0;
        time_ms answeredAt = 0;
        bool givenUp = false;
    };

    // Every second executor may run the step.
    static advice_answered answerTo(const request_advice &request, order_status status)
    {
        advice_answered answer;
        answer.job = request.job;
        answer.occurrence = request.occurrence;
        answer.step = request.step;
        answer.status = status;
        answer.asked = request.executors;
        answer.validMs = 3'000;
        answer.call = request.call;
        for (std::size_t i = 0; status == order_status::Ok && i < request.executors.size(); i += 2) {
            answer.tickets.emplace_back(request.executors[i], "ticket");
        }
        return answer;
    }

    advice_cost m_cost;
    std::deque<call> m_queue;
    std::vector<request_advice> m_refused;
    time_ms m_longestCallMs = 0;
};

/** Plays jobs of one task each that come at once to a queue with advice. */
class advised_burst
{
public:
    advised_burst(const advice_cost &cost, bool costIsConfigured)
        : service(cost)
    {
        configuration_view view = scheduler_fixture::singleQueueConfiguration();
        view.version = 2;
        view.queues[0].requiresAdvice = true;
        view.queues[0].adviceValidMs = 3'000;
        if (costIsConfigured) {
            view.queues[0].adviceCost = cost;
        }
        configuration = view;
    }

    void begin(scheduler_fixture &world)
    {
        world.taskScheduler.handle(configuration_changed{configuration}, world.now);
        for (int i = 0; i < executorCount; ++i) {
            world.addExecutor("e" + std::to_string(i), 32'000);
        }
    }

    void submit(scheduler_fixture &world, int jobs)
    {
        for (int i = 0; i < jobs; ++i) {
            world.taskScheduler.handle(job_submitted{jobNumber(i)}, world.now);
        }
    }

    static job_spec jobNumber(int number)
    {
        return scheduler_fixture::job("j" + std::to_string(number), {scheduler_fixture::step(1)});
    }

    /** Plays until all jobs have started or the time is over. */
    void play(scheduler_fixture &world, std::size_t jobs, time_ms until)
    {
        while (started.size() < jobs && world.now < until) {
            for (const request_advice &request : world.take<request_advice>()) {
                service.take(request, world.now);
            }
            for (const start_run &order : world.take<start_run>()) {
                started.insert(order.task.job);
                lastStartAt = world.now;
                world.taskScheduler.handle(start_answered{order.task, order.run, order.executor, order_status::Ok, 10}, world.now);
                running[order.executor].push_back({order, world.now + runMs});
            }
            for (const advice_answered &answer : service.takeAnswers(world.now)) {
                world.taskScheduler.handle(answer, world.now);
            }
            endRuns(world);
            world.advance(10);
        }
    }

    void endRuns(scheduler_fixture &world)
    {
        for (std::pair<const std::string, std::vector<one_run>> &item : running) {
            poll_answered answer{item.first, order_status::Ok, world.now, world.now, 1'000, {}, {}};
            for (const one_run &run : item.second) {
                if (run.endsAt <= world.now) {
                    answer.ends.push_back(scheduler_fixture::ended(run.order, ++endNumbers[item.first], run_end::Done));
                } else {
                    answer.runs.push_back(scheduler_fixture::running(run.order));
                }
            }
            std::erase_if(item.second, [&world](const one_run &run) {
                return run.endsAt <= world.now;
            });
            world.taskScheduler.handle(answer, world.now);
        }
    }

    struct one_run
    {
        start_run order;
        time_ms endsAt = 0;
    };

    static constexpr int executorCount = 10;
    static constexpr time_ms runMs = 500;

    serial_advice_service service;
    configuration_view configuration;
    std::set<std::string> started;
    time_ms lastStartAt = 0;
    std::map<std::string, std::vector<one_run>> running;
    std::map<std::string, std::int64_t> endNumbers;
};

} // namespace

// Guards against calls that are given up and repeated behind their own copies: the queue's jobs never started (LOST).
TEST_CASE("a burst of jobs with advice starts as fast as the advice service answers")
{
    struct load
    {
        int jobs;
        advice_cost cost;
    };
    for (const load &played : {load{60, {150, 2}}, load{60, {20, 10}}, load{60, {1'000, 30}}, load{600, {150, 2}}, load{600, {15, 1}}}) {
        for (const bool costIsConfigured : {true, false}) {
            CAPTURE(played.jobs);
            CAPTURE(played.cost.decideMs);
            CAPTURE(costIsConfigured);
            scheduler_fixture world;
            advised_burst burst(played.cost, costIsConfigured);
            burst.begin(world);
            const time_ms submittedAt = world.now;
            burst.submit(world, played.jobs);
            const time_ms serviceMs = played.jobs * (played.cost.decideMs + played.cost.eachMs * advised_burst::executorCount);
            burst.play(world, static_cast<std::size_t>(played.jobs), submittedAt + 3 * serviceMs);
            REQUIRE(burst.started.size() == static_cast<std::size_t>(played.jobs));
            // A quarter above the service's own time for the calls, and a second for the first and the last.
            CHECK(burst.lastStartAt - submittedAt <= serviceMs + serviceMs / 4 + 1'000);
            MESSAGE(played.jobs << " jobs, " << played.cost.decideMs << " ms: last start after " << burst.lastStartAt - submittedAt << " ms, the service takes "
                                << serviceMs);
        }
    }
}

// Guards against a new holder's calls that wait behind those of the former one and are given up (LOST).
TEST_CASE("a burst of jobs with advice goes on across a takeover")
{
    constexpr int jobs = 60;
    constexpr advice_cost cost{150, 2};
    advised_burst burst(cost, true);
    scheduler_fixture former;
    burst.begin(former);
    const time_ms submittedAt = former.now;
    burst.submit(former, jobs);
    burst.play(former, jobs, submittedAt + 2'000);
    const std::size_t startedBefore = burst.started.size();
    REQUIRE(startedBefore > 5);
    REQUIRE(startedBefore < jobs);

    burst.service.forgetSenders();
    scheduler_fixture next({}, term_times{former.now, 0});
    next.taskScheduler.handle(configuration_changed{burst.configuration}, next.now);
    for (int i = 0; i < jobs; ++i) {
        const job_spec job = advised_burst::jobNumber(i);
        const auto row = former.rows.find(job.id);
        REQUIRE(next.taskScheduler.restore(job, row == former.rows.end() ? "" : row->second, next.now));
    }
    burst.begin(next);
    burst.play(next, jobs, submittedAt + 40'000);
    REQUIRE(burst.started.size() == jobs);
    const time_ms serviceMs = jobs * (cost.decideMs + cost.eachMs * advised_burst::executorCount);
    CHECK(burst.lastStartAt - submittedAt <= serviceMs + serviceMs / 4 + 2'000);
}

TEST_CASE("calls for advice are limited by what the service answers")
{
    advice_calls calls;
    const auto fill = [&calls](time_ms now) {
        std::vector<std::int64_t> sent;
        while (calls.mayAsk()) {
            sent.push_back(calls.add(anyStep, knownCost, 10, now));
        }
        return sent;
    };

    SUBCASE("a fast service gets more calls at the same time than a slow one")
    {
        calls.settle(calls.add(anyStep, knownCost, 10, 0), advice_outcome::Answered, 20);
        const std::size_t fast = calls.window();
        for (time_ms now = 1'000; now < 20'000; now += 1'000) {
            calls.settle(calls.add(anyStep, knownCost, 10, now), advice_outcome::Answered, now + 900);
        }
        CHECK(fast > 10);
        CHECK(calls.window() == 2);
    }
    SUBCASE("calls without an answer in time leave one call at a time")
    {
        REQUIRE(fill(0).size() > 1);
        CHECK(calls.takeOverdue(3'900).empty());
        CHECK_FALSE(calls.takeOverdue(10'000).empty());
        CHECK(calls.window() <= 2);

        SUBCASE("the next one is waited for longer")
        {
            while (calls.mayAsk()) {
                calls.add(anyStep, knownCost, 10, 10'000);
            }
            CHECK(calls.takeOverdue(17'900).empty());
        }
        SUBCASE("answers open the window again")
        {
            const std::size_t before = calls.window();
            for (time_ms now = 11'000; now < 12'000; now += 100) {
                calls.settle(calls.add(anyStep, knownCost, 10, now), advice_outcome::Answered, now + 20);
            }
            CHECK(calls.window() > before);
        }
    }
    SUBCASE("a late answer tells how slow the service is")
    {
        const std::int64_t number = calls.add(anyStep, knownCost, 10, 0);
        const std::vector<overdue_advice> overdue = calls.takeOverdue(6'000);
        REQUIRE(overdue.size() == 1);
        CHECK(overdue[0].number == number);
        calls.settle(number, advice_outcome::Answered, 7'000);
        CHECK(calls.serviceTimeMs() == 7'000);
    }
    SUBCASE("refused calls halve the window once for all that were sent together")
    {
        const std::vector<std::int64_t> sent = fill(0);
        const std::size_t before = calls.window();
        for (std::int64_t number : sent) {
            calls.settle(number, advice_outcome::Refused, 10);
        }
        CHECK(calls.window() == before / 2);
    }
    SUBCASE("a call that the next one has overtaken doesn't count any more")
    {
        calls.add(anyStep, knownCost, 10, 0);
        REQUIRE(calls.takeOverdue(6'000).size() == 1);
        calls.settle(calls.add(anyStep, knownCost, 10, 6'000), advice_outcome::Answered, 6'100);
        // The time is that of a call that waited behind one other.
        CHECK(calls.serviceTimeMs() == 50);
        CHECK(calls.underWay() == 0);
    }
    SUBCASE("while others wait, calls name no more executors than the decision takes time")
    {
        CHECK(advice_calls::executorsPerCall({20, 10}, false) == maxExecutorsPerAdvice);
        CHECK(advice_calls::executorsPerCall({20, 10}, true) == 4);
        CHECK(advice_calls::executorsPerCall({150, 2}, true) == maxExecutorsPerAdvice);
        CHECK(advice_calls::executorsPerCall({}, true) == maxExecutorsPerAdvice);
    }
}

// Guards against starts that the executor refuses because their ticket ended while their row was stored.
// A patience out of range was below zero: each call to such a service was given up at once.
TEST_CASE("a call to an advice service with the longest possible times is waited for")
{
    constexpr std::int64_t longest = std::numeric_limits<std::int64_t>::max();
    for (const advice_cost &cost : {advice_cost{longest, 0}, advice_cost{0, longest}, advice_cost{longest, longest}}) {
        CAPTURE(cost.decideMs);
        advice_calls calls;
        calls.add(anyStep, cost, 8, 0);
        CHECK(calls.takeOverdue(1'000).empty());
    }
}

TEST_CASE("a ticket that ends before the start is asked for again")
{
    scheduler_fixture world;
    advised_burst burst(knownCost, true);
    burst.begin(world);
    world.taskScheduler.handle(job_submitted{advised_burst::jobNumber(1)}, world.now);
    world.planAndCommit();
    const std::vector<request_advice> asked = world.take<request_advice>();
    REQUIRE(asked.size() == 1);
    advice_answered answer{asked[0].job, 0, 0, order_status::Ok, asked[0].executors, {{asked[0].executors[0], "ticket"}}, 1'000, asked[0].call};
    world.storeReachable = false;
    world.taskScheduler.handle(answer, world.now);
    world.planAndCommit();
    world.now += 1'100;
    world.storeReachable = true;
    world.advance(10);
    CHECK(world.take<start_run>().empty());
    world.advance(500);
    CHECK(world.take<request_advice>().size() == 1);
}
