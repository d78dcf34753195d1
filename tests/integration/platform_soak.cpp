// Random faults in series on real processes: nodes killed, stopped, frozen and started again, the store away, slow, losing
// answers and its history, executors silent. What the executors see must keep the promises, and accepted jobs must end.
//
// DAISYPASS_SOAK_SEEDS="FIRST COUNT" plays other seeds than CI's; each seed is printed before it starts.

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

// Seeds that have failed stay here, each with its cause.
// 11: a VM went down for upkeep with an end that its holder had not stored when it was killed; the task ran again.
const std::vector<std::uint64_t> regressionSeeds{11};

class soak_run
{
public:
    explicit soak_run(std::uint64_t seed)
        : m_random(seed)
        , m_platform({.nodes = nodeCount, .pools = 1, .workers = 4, .spareVms = 2, .waveVms = 2, .seed = seed})
    {
    }

    void play()
    {
        for (int step = 0; step < stepCount; ++step) {
            submitSome();
            disturb();
            std::this_thread::sleep_for(stepPause);
            undoDue(soak_clock::now());
        }
        undoDue(soak_clock::time_point::max());
        restoreNodes();
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
    int draw(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(m_random);
    }

    void undoLater(int afterMs, std::function<void()> undo)
    {
        m_undo.emplace(soak_clock::now() + std::chrono::milliseconds(afterMs), std::move(undo));
    }

    void undoDue(soak_clock::time_point now)
    {
        while (!m_undo.empty() && m_undo.begin()->first <= now) {
            const std::function<void()> undo = std::move(m_undo.begin()->second);
            m_undo.erase(m_undo.begin());
            undo();
        }
    }

    void submitSome()
    {
        for (int i = 0; i < 3; ++i) {
            const std::size_t node = static_cast<std::size_t>(draw(0, nodeCount - 1));
            if (m_frozen.contains(node) || !m_platform.node(node).running()) {
                continue;
            }
            const std::string job = m_platform.submit(node, draw(20, 900), draw(1, 6));
            if (!job.empty()) {
                m_jobs.push_back(job);
            }
        }
    }

    void disturb()
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
                m_platform.node(node).askToStop();
                m_platform.node(node).waitForExit();
            });
            break;
        case 2:
            freeze(node);
            break;
        case 3:
            storeFault("busy");
            break;
        case 4:
            storeFault("lost&share=0.4");
            break;
        case 5:
            storeFault("slow&delay_ms=120");
            break;
        case 6:
            m_platform.admin("/admin/forget");
            break;
        default:
            silenceExecutor();
        }
    }

    void stopNode(std::size_t node, const std::function<void()> &stop)
    {
        if (m_frozen.contains(node) || !m_platform.node(node).running()) {
            return;
        }
        stop();
        undoLater(draw(100, 2'500), [this, node] {
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
        undoLater(draw(300, 4'000), [this, node] {
            m_platform.node(node).resume();
            m_frozen.erase(node);
        });
    }

    void storeFault(const std::string &kind)
    {
        m_platform.admin("/admin/fault?kind=" + kind);
        undoLater(draw(300, 2'000), [this] {
            m_platform.admin("/admin/fault?kind=none");
        });
    }

    void silenceExecutor()
    {
        const std::string id = "i-" + std::to_string(draw(1, 6));
        m_platform.admin("/admin/worker?id=" + id + "&silent=1");
        undoLater(draw(300, 4'000), [this, id] {
            m_platform.admin("/admin/worker?id=" + id + "&silent=0");
        });
        if (!m_jobs.empty()) {
            const std::string job = m_jobs[static_cast<std::size_t>(draw(0, static_cast<int>(m_jobs.size()) - 1))];
            m_cancelled.insert({job, true});
            m_platform.cancel(static_cast<std::size_t>(draw(0, nodeCount - 1)), job);
        }
    }

    void restoreNodes()
    {
        for (std::size_t node = 0; node < nodeCount; ++node) {
            if (!m_platform.node(node).running()) {
                m_platform.restart(node);
            }
        }
    }

    std::mt19937_64 m_random;
    platform_deployment m_platform;
    std::multimap<soak_clock::time_point, std::function<void()>> m_undo;
    std::map<std::size_t, bool> m_frozen;
    std::map<std::string, bool> m_cancelled;
    std::vector<std::string> m_jobs;
};

std::vector<std::uint64_t> seedsToPlay()
{
    std::vector<std::uint64_t> seeds = regressionSeeds;
    const char *wanted = std::getenv("DAISYPASS_SOAK_SEEDS");
    std::istringstream text(wanted == nullptr ? "1 2" : wanted);
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
    for (const std::uint64_t seed : seedsToPlay()) {
        std::cout << "soak seed " << seed << std::endl;
        INFO("seed " << seed);
        soak_run run(seed);
        run.play();
        run.check();
    }
}
