// Sequences of random faults on real processes: nodes are killed, stopped, frozen and restarted; the store is unavailable or slow, or
// loses responses or its history; executors stop responding. The executors must observe no breach of the guarantees, and accepted jobs
// must end.
//
// DAISYPASS_SOAK_SEEDS="FIRST COUNT" runs other seeds than CI's. Each seed is printed before it starts.

#include "integration/platform_deployment.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>
#include <thread>

using namespace daisypass::integration;

namespace {

using soak_clock = std::chrono::steady_clock;

constexpr int nodeCount = 3;
constexpr int stepCount = 14;
constexpr std::chrono::milliseconds stepPause{350};

// Seeds that have failed before, each with the cause of the failure.
// 11: a VM went down for maintenance while the end of a task on it was not yet stored; the lease holder was killed, and the task ran again.
const std::vector<std::uint64_t> regressionSeeds{11};

class soak_run
{
public:
    explicit soak_run(std::uint64_t seed)
        : m_random(seed)
        , m_platform({.nodes = nodeCount, .pools = 1, .workers = 4, .spareVms = 2, .waveVms = 2, .seed = seed})
    {
    }

    void runSteps()
    {
        for (int step = 0; step < stepCount; ++step) {
            submitJobs();
            injectFault();
            std::this_thread::sleep_for(stepPause);
            runDueUndos(soak_clock::now());
        }
        runDueUndos(soak_clock::time_point::max());
        restartStoppedNodes();
    }

    void check()
    {
        for (const std::string &job : m_jobs) {
            INFO("job " << job);
            CHECK(waitUntil([&] {
                const std::string phase = m_platform.phase(0, job);
                return phase == "completed" || (phase == "cancelled" && m_cancelled.contains(job));
            }));
        }
        const nlohmann::json report = m_platform.report();
        INFO(report.dump());
        CHECK(report["breaches"].empty());
    }

private:
    int draw(int smallest, int largest)
    {
        return std::uniform_int_distribution<int>(smallest, largest)(m_random);
    }

    void scheduleUndo(int afterMs, std::function<void()> undo)
    {
        m_pendingUndos.emplace(soak_clock::now() + std::chrono::milliseconds(afterMs), std::move(undo));
    }

    void runDueUndos(soak_clock::time_point now)
    {
        while (!m_pendingUndos.empty() && m_pendingUndos.begin()->first <= now) {
            const std::function<void()> undo = std::move(m_pendingUndos.begin()->second);
            m_pendingUndos.erase(m_pendingUndos.begin());
            undo();
        }
    }

    void submitJobs()
    {
        for (int i = 0; i < 3; ++i) {
            const std::size_t node = static_cast<std::size_t>(draw(0, nodeCount - 1));
            if (m_frozen.contains(node) || !m_platform.node(node).running()) {
                continue;
            }
            // Drawn in an order of their own: that of a call's arguments differs between machines, and with it the days of a seed.
            const int workMs = draw(20, 900);
            const int tasks = draw(1, 6);
            const std::string job = m_platform.submit(node, workMs, tasks);
            if (!job.empty()) {
                m_jobs.push_back(job);
            }
        }
    }

    void injectFault()
    {
        const std::size_t node = static_cast<std::size_t>(draw(0, nodeCount - 1));
        switch (draw(0, 7)) {
        case 0:
            stopNode(node, [&] {
                m_platform.node(node).kill();
            });
            break;
        case 1:
            stopNode(node, [&] {
                m_platform.node(node).requestStop();
                m_platform.node(node).waitForExit();
            });
            break;
        case 2:
            freeze(node);
            break;
        case 3:
            injectStoreFault("busy");
            break;
        case 4:
            injectStoreFault("lost&share=0.4");
            break;
        case 5:
            injectStoreFault("slow&delay_ms=120");
            break;
        case 6:
            m_platform.admin("/admin/forget");
            break;
        default:
            silenceExecutorAndCancelJob();
        }
    }

    void stopNode(std::size_t node, const std::function<void()> &stop)
    {
        if (m_frozen.contains(node) || !m_platform.node(node).running()) {
            return;
        }
        stop();
        scheduleUndo(draw(100, 2'500), [this, node] {
            m_platform.restart(node);
        });
    }

    void freeze(std::size_t node)
    {
        if (m_frozen.contains(node) || !m_platform.node(node).running()) {
            return;
        }
        m_platform.node(node).freeze();
        m_frozen.insert({node, true});
        scheduleUndo(draw(300, 4'000), [this, node] {
            m_platform.node(node).resume();
            m_frozen.erase(node);
        });
    }

    void injectStoreFault(const std::string &kind)
    {
        m_platform.admin("/admin/fault?kind=" + kind);
        scheduleUndo(draw(300, 2'000), [this] {
            m_platform.admin("/admin/fault?kind=none");
        });
    }

    void silenceExecutorAndCancelJob()
    {
        const std::string id = "i-" + std::to_string(draw(1, 6));
        m_platform.admin("/admin/worker?id=" + id + "&silent=1");
        scheduleUndo(draw(300, 4'000), [this, id] {
            m_platform.admin("/admin/worker?id=" + id + "&silent=0");
        });
        if (!m_jobs.empty()) {
            const std::string job = m_jobs[static_cast<std::size_t>(draw(0, static_cast<int>(m_jobs.size()) - 1))];
            m_cancelled.insert({job, true});
            m_platform.cancel(static_cast<std::size_t>(draw(0, nodeCount - 1)), job);
        }
    }

    void restartStoppedNodes()
    {
        for (std::size_t node = 0; node < nodeCount; ++node) {
            if (!m_platform.node(node).running()) {
                m_platform.restart(node);
            }
        }
    }

    std::mt19937_64 m_random;
    platform_deployment m_platform;
    std::multimap<soak_clock::time_point, std::function<void()>> m_pendingUndos;
    std::map<std::size_t, bool> m_frozen;
    std::map<std::string, bool> m_cancelled;
    std::vector<std::string> m_jobs;
};

std::vector<std::uint64_t> seedsToRun()
{
    std::vector<std::uint64_t> seeds = regressionSeeds;
    const char *requestedSeeds = std::getenv("DAISYPASS_SOAK_SEEDS");
    std::istringstream text(requestedSeeds == nullptr ? "1 2" : requestedSeeds);
    std::uint64_t first = 1;
    std::uint64_t count = 2;
    text >> first >> count;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        seeds.push_back(seed);
    }
    return seeds;
}

} // namespace

TEST_CASE("soak: promises hold under random faults")
{
    for (const std::uint64_t seed : seedsToRun()) {
        std::cout << "soak seed " << seed << std::endl;
        INFO("seed " << seed);
        soak_run run(seed);
        run.runSteps();
        run.check();
    }
}
