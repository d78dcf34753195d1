// Measures scheduling decisions in virtual time with fixed seeds: slot policies, head-of-line blocking, admission, ejection, and the cost of the code itself.
//
//     daisypass-scheduling-bench [--section slots|blocking|admission|ejection|cost] [--seed N]

#include "pool_simulation.h"

#include <CLI/CLI.hpp>
#include <malloc.h>

#include <cmath>
#include <cstdio>
#include <map>
#include <random>

using namespace daisypass;
using namespace std::chrono_literals;

namespace {

constexpr int Targets = 10;
constexpr int Slots = 8;
constexpr duration ShortRun = 20ms;
constexpr duration LongRun = 10s;
constexpr duration RoundTrip = 2ms;
// An entry holds a slot from dispatch to answer, so the pool can serve this many short requests per second.
const double Capacity = Targets * Slots / std::chrono::duration<double>(ShortRun + RoundTrip).count();

struct stream
{
    double perSecond = 0;
    timestamp from{};
    timestamp until{};
    duration run = ShortRun;
    duration deadline = 2s;
    int group = 0;
    std::string team = "counter";
    std::string requestClass = "lookup";
};

// Poisson arrivals with exponential run times. The entry is drawn with weight 1 / (rank + 1), so the first gets several times the last one's share.
std::vector<simulated_request> generate(const std::vector<stream> &streams, std::size_t entries, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<double> weights;
    for (std::size_t entry = 0; entry < entries; ++entry) {
        weights.push_back(1.0 / static_cast<double>(entry + 1));
    }
    std::discrete_distribution<std::size_t> entryOf(weights.begin(), weights.end());
    std::vector<simulated_request> requests;
    for (const stream &each : streams) {
        std::exponential_distribution<double> gap(each.perSecond);
        std::exponential_distribution<double> run(1 / std::chrono::duration<double>(each.run).count());
        const double until = std::chrono::duration<double>(each.until).count();
        for (double at = std::chrono::duration<double>(each.from).count() + gap(random); at < until; at += gap(random)) {
            simulated_request request;
            request.arrival = std::chrono::duration_cast<timestamp>(std::chrono::duration<double>(at));
            request.run = std::max(duration(500), std::chrono::duration_cast<duration>(std::chrono::duration<double>(run(random))));
            request.deadline = each.deadline;
            request.entry = entryOf(random);
            request.group = each.group;
            request.team = each.team;
            request.requestClass = each.requestClass;
            requests.push_back(request);
        }
    }
    std::sort(requests.begin(), requests.end(), [](const simulated_request &left, const simulated_request &right) {
        return left.arrival < right.arrival;
    });
    return requests;
}

struct group_figures
{
    int arrived = 0;
    int completed = 0;
    int failed = 0;
    double meanMs = 0;
    double p50Ms = 0;
    double p99Ms = 0;
};

// The wait is the time from the arrival at an entry to the start on the target; 1 ms of it is the way to the target.
group_figures summarise(const pool_simulation &simulation, int group, timestamp from, timestamp until)
{
    group_figures figures;
    std::vector<double> waits;
    for (const simulated_request &request : simulation.requests()) {
        if (request.group != group || request.arrival < from || request.arrival >= until) {
            continue;
        }
        ++figures.arrived;
        figures.failed += request.outcome == attempt_outcome::Failed ? 1 : 0;
        if (request.completed) {
            ++figures.completed;
            waits.push_back(std::chrono::duration<double, std::milli>(request.started - request.arrival).count());
            figures.meanMs += waits.back();
        }
    }
    if (!waits.empty()) {
        std::sort(waits.begin(), waits.end());
        figures.meanMs /= static_cast<double>(waits.size());
        figures.p50Ms = waits[waits.size() / 2];
        figures.p99Ms = waits[waits.size() * 99 / 100];
    }
    return figures;
}

// Completions by their start on the target, as a share of what the pool can serve in that time.
double goodput(const pool_simulation &simulation, timestamp from, timestamp until)
{
    int started = 0;
    for (const simulated_request &request : simulation.requests()) {
        started += request.completed && request.started >= from && request.started < until ? 1 : 0;
    }
    return started / (Capacity * std::chrono::duration<double>(until - from).count());
}

// The smallest share of an entry's arrivals that completed: shows an entry that others starve.
double worstEntry(const pool_simulation &simulation, std::size_t entries, timestamp from, timestamp until)
{
    std::vector<double> arrived(entries);
    std::vector<double> completed(entries);
    for (const simulated_request &request : simulation.requests()) {
        if (request.arrival >= from && request.arrival < until) {
            arrived[request.entry] += 1;
            completed[request.entry] += request.completed ? 1 : 0;
        }
    }
    double worst = 1;
    for (std::size_t entry = 0; entry < entries; ++entry) {
        worst = arrived[entry] > 0 ? std::min(worst, completed[entry] / arrived[entry]) : worst;
    }
    return worst;
}

double percentOfSlots(double slotSeconds, timestamp from, timestamp until)
{
    return 100 * slotSeconds / (Targets * Slots * std::chrono::duration<double>(until - from).count());
}

simulation_options baseOptions(std::uint64_t seed)
{
    simulation_options options;
    options.targets = Targets;
    options.seed = seed;
    options.config.slotsPerTarget = Slots;
    return options;
}

const char *const SlotPolicies[] = {"static-shares", "pool-owner", "refusal-only", "lend"};

void printSlotRow(const char *policy, std::size_t entries, const char *phase, const pool_simulation &simulation, timestamp from, timestamp until)
{
    const group_figures figures = summarise(simulation, 0, from, until);
    const simulation_figures &totals = simulation.figures();
    const double dispatches = std::max<double>(1, static_cast<double>(totals.dispatches));
    std::printf("%-14s %7zu %-8s %6.1f %8.2f %8.3f %8.2f %8.2f %8.2f %8.1f %8.1f %8.1f %9.1f\n",
                policy,
                entries,
                phase,
                percentOfSlots(totals.busySeconds, from, until),
                percentOfSlots(totals.idleWhileWaitingSeconds, from, until),
                100 * static_cast<double>(totals.targetRefusals) / dispatches,
                figures.meanMs,
                figures.p50Ms,
                figures.p99Ms,
                100 * goodput(simulation, from, until),
                100.0 * figures.completed / std::max(1, figures.arrived),
                100 * worstEntry(simulation, entries, from, until),
                static_cast<double>(totals.borrowQuestions) / static_cast<double>(entries) / std::chrono::duration<double>(until - from).count());
}

struct slot_phase
{
    const char *name;
    double load;
    bool frozen;
    bool cutOff;
};

void slotSection(std::uint64_t seed)
{
    std::printf("\n(a) Slot policies: %d targets of %d slots, 20 ms work, callers spread 1 : 1/2 : 1/3 ... over the entries, deadline 2 s\n", Targets, Slots);
    std::printf("load is relative to the %.0f requests/s that the pool serves when a slot is held for run time and round trip\n", Capacity);
    std::printf("%-14s %7s %-8s %6s %8s %8s %8s %8s %8s %8s %8s %8s %9s\n",
                "policy",
                "entries",
                "phase",
                "util%",
                "idle-w%",
                "refus%",
                "mean ms",
                "p50 ms",
                "p99 ms",
                "goodput%",
                "done%",
                "worst%",
                "asks/e/s");
    const slot_phase phases[] = {{"0.85", 0.85, false, false}, {"peak 5x", 2.5, false, false}, {"frozen", 0.85, true, false}, {"cut off", 0.85, false, true}};
    for (const slot_phase &phase : phases) {
        for (std::size_t entries : {1U, 2U, 4U, 6U, 8U}) {
            if (entries == 1 && (phase.frozen || phase.cutOff)) {
                continue;
            }
            for (const char *policy : SlotPolicies) {
                simulation_options options = baseOptions(seed);
                options.entries = entries;
                options.slotPolicy = policy;
                options.windowFrom = 10s;
                options.windowUntil = phase.load > 1 ? 13s : 20s;
                options.frozen = phase.frozen;
                options.cutOff = phase.cutOff;
                options.faultFrom = 10s;
                options.faultUntil = 15s;
                // The entry that pool-owner depends on is the one that fails, for all policies alike.
                std::vector<std::string> names;
                for (std::size_t entry = 0; entry < entries; ++entry) {
                    names.push_back("entry-" + std::to_string(entry));
                }
                options.faultyEntry = static_cast<std::size_t>(std::find(names.begin(), names.end(), rendezvousOwner(names, "pool")) - names.begin());
                // The mean before a peak is half the capacity.
                const double before = (phase.load > 1 ? 0.5 : phase.load) * Capacity;
                const std::vector<stream> streams{{before, 0s, options.windowFrom}, {phase.load * Capacity, options.windowFrom, options.windowUntil}};
                pool_simulation simulation(options, generate(streams, entries, seed));
                simulation.run(options.windowUntil + 8s);
                printSlotRow(policy, entries, phase.name, simulation, options.windowFrom, options.windowUntil);
            }
        }
    }
}

struct blocking_case
{
    const char *name;
    const char *scheduling;
    bool longWork;
    const char *longTeam;
    const char *longClass;
};

void blockingSection(std::uint64_t seed)
{
    std::printf("\n(b) Head-of-line blocking: short 20 ms work; long 10 s work offered for all slots; long_share 0.5, long deadline 120 s\n");
    std::printf("%-26s %7s %5s %8s %8s %8s %8s %9s %9s\n", "case", "entries", "load", "p50 ms", "p99 ms", "ratio", "done%", "long/min", "long max");
    const blocking_case cases[] = {
        {"fifo, none", "fifo", false, "", ""},
        {"fifo, long", "fifo", true, "recon", "reconcile"},
        {"bands, none", "bands", false, "", ""},
        {"bands, long", "bands", true, "recon", "reconcile"},
        {"bands, wrong (own team)", "bands", true, "recon", "lookup"},
        {"bands, wrong (same team)", "bands", true, "counter", "lookup"},
    };
    for (std::size_t entries : {1U, 4U}) {
        for (double load : {0.2, 0.3, 0.4}) {
            double without = 0;
            for (const blocking_case &each : cases) {
                simulation_options options = baseOptions(seed);
                options.entries = entries;
                options.config.scheduling = each.scheduling;
                const timestamp from = 60s;
                const timestamp until = 120s;
                options.windowFrom = from;
                options.windowUntil = until;
                std::vector<stream> streams{{load * Capacity, 0s, until, ShortRun, 30s}};
                if (each.longWork) {
                    const double perSecond = Targets * Slots / std::chrono::duration<double>(LongRun).count();
                    streams.push_back({perSecond, 5s, until, LongRun, 120s, 1, each.longTeam, each.longClass});
                }
                pool_simulation simulation(options, generate(streams, entries, seed));
                simulation.run(until + 20s);
                const group_figures figures = summarise(simulation, 0, from, until);
                int longStarted = 0;
                double longWait = 0;
                for (const simulated_request &request : simulation.requests()) {
                    if (request.group == 1 && request.dispatches > 0 && request.started >= from && request.started < until) {
                        ++longStarted;
                        longWait = std::max(longWait, std::chrono::duration<double>(request.started - request.arrival).count());
                    }
                }
                without = each.longWork ? without : figures.p99Ms;
                std::printf("%-26s %7zu %5.2f %8.2f %8.2f %8.2f %8.1f %9d %8.1fs\n",
                            each.name,
                            entries,
                            load,
                            figures.p50Ms,
                            figures.p99Ms,
                            figures.p99Ms / without,
                            100.0 * figures.completed / std::max(1, figures.arrived),
                            longStarted,
                            longWait);
            }
        }
    }
}

void admissionSection(std::uint64_t seed)
{
    std::printf("\n(c) Admission at a 5x peak of 5 s (2.5 times capacity), deadline 1 s, teams of weight 1, 1, 2, 4 with demand 4 : 1 : 1 : 1\n");
    std::printf("%-8s %7s %9s %8s %8s %8s %10s %30s\n", "policy", "entries", "goodput%", "p50 ms", "p99 ms", "retries", "refused", "served per weight (req/s)");
    std::vector<team_config> teams(4);
    const char *const names[] = {"a", "b", "c", "d"};
    const double weights[] = {1, 1, 2, 4};
    for (std::size_t team = 0; team < teams.size(); ++team) {
        teams[team].name = names[team];
        teams[team].weight = weights[team];
    }
    const double demand[] = {4.0 / 7, 1.0 / 7, 1.0 / 7, 1.0 / 7};
    for (const char *scheduling : {"fifo", "bands"}) {
        for (std::size_t entries : {1U, 4U, 8U}) {
            simulation_options options = baseOptions(seed);
            options.entries = entries;
            options.teams = teams;
            options.config.scheduling = scheduling;
            options.windowFrom = 10s;
            options.windowUntil = 15s;
            std::vector<stream> streams;
            for (int team = 0; team < 4; ++team) {
                streams.push_back({0.5 * Capacity * demand[team], 0s, 10s, ShortRun, 1s, team, teams[team].name});
                streams.push_back({2.5 * Capacity * demand[team], 10s, 15s, ShortRun, 1s, team, teams[team].name});
            }
            pool_simulation simulation(options, generate(streams, entries, seed));
            simulation.run(20s);
            std::string served;
            double p50 = 0;
            double p99 = 0;
            int refused = 0;
            for (int team = 0; team < 4; ++team) {
                const group_figures figures = summarise(simulation, team, 10s, 15s);
                char cell[32];
                std::snprintf(cell, sizeof(cell), "%8.0f", figures.completed / teams[team].weight / 5);
                served += cell;
                p50 = std::max(p50, figures.p50Ms);
                p99 = std::max(p99, figures.p99Ms);
                refused += figures.arrived - figures.completed;
            }
            std::printf("%-8s %7zu %9.1f %8.1f %8.1f %8llu %10d %s\n",
                        scheduling,
                        entries,
                        100 * goodput(simulation, 10500ms, 15s),
                        p50,
                        p99,
                        static_cast<unsigned long long>(simulation.figures().retries),
                        refused,
                        served.c_str());
        }
    }
}

void ejectionSection(std::uint64_t seed)
{
    std::printf("\n(d) One of %d targets fails everything within 1 ms from second 10 to 30, load 0.6\n", Targets);
    std::printf("%-18s %7s %9s %9s %8s %8s\n", "ejection", "entries", "failed", "failed%", "p50 ms", "p99 ms");
    for (std::size_t entries : {1U, 4U, 8U}) {
        for (double share : {0.0, 0.3}) {
            simulation_options options = baseOptions(seed);
            options.entries = entries;
            options.config.maxEjectedShare = share;
            options.failingFrom = 10s;
            options.windowFrom = 10s;
            options.windowUntil = 30s;
            pool_simulation simulation(options, generate({{0.6 * Capacity, 0s, 30s}}, entries, seed));
            simulation.run(35s);
            const group_figures figures = summarise(simulation, 0, 10s, 30s);
            std::printf("%-18s %7zu %9d %9.3f %8.2f %8.2f\n",
                        share > 0 ? "with (share 0.3)" : "without",
                        entries,
                        figures.failed,
                        100.0 * figures.failed / figures.arrived,
                        figures.p50Ms,
                        figures.p99Ms);
        }
    }
}

double nanosecondsSince(std::chrono::steady_clock::time_point from, int count)
{
    return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - from).count() / count;
}

void costSection(std::uint64_t seed)
{
    constexpr int Queued = 100'000;
    constexpr int TeamCount = 20;
    pool_config config;
    config.queueLimit = 2 * Queued;
    config.teamQueueLimit = 2 * Queued;
    pool_scheduler scheduler(config, seed);
    view_changed view;
    view.self = "a";
    view.config = config;
    for (int number = 0; number < Targets; ++number) {
        view.targets.push_back({"vm-" + std::to_string(number), "a", {}, {}});
    }
    std::vector<scheduler_action> actions;
    scheduler.handle(view, 100s, actions);
    std::vector<request_info> infos(Queued + 2000);
    for (std::size_t index = 0; index < infos.size(); ++index) {
        infos[index].number = index + 1;
        infos[index].team = "team-" + std::to_string(index % TeamCount);
        infos[index].requestClass = index % 10 == 0 ? "report" : "lookup";
        infos[index].deadline = 100s + 3600s;
    }
    const std::size_t before = mallinfo2().uordblks;
    std::chrono::steady_clock::time_point from = std::chrono::steady_clock::now();
    for (int index = 0; index < Queued; ++index) {
        actions.clear();
        scheduler.handle(request_arrived{infos[index]}, 100s, actions);
    }
    const double arriveNs = nanosecondsSince(from, Queued);
    const double bytes = static_cast<double>(mallinfo2().uordblks - before) / scheduler.queued();
    // The first 80 requests run. Each answer starts the next queued request, whose number the dispatch names.
    std::vector<request_number> running;
    for (request_number number = 1; number <= Targets * Slots; ++number) {
        running.push_back(number);
    }
    constexpr int Answers = 40'000;
    from = std::chrono::steady_clock::now();
    std::size_t next = 0;
    for (int count = 0; count < Answers; ++count) {
        actions.clear();
        scheduler.handle(target_answered{running[next++], attempt_outcome::Completed, ShortRun}, 100s + duration(count * 250), actions);
        for (const scheduler_action &action : actions) {
            if (const dispatch *started = std::get_if<dispatch>(&action)) {
                running.push_back(started->request);
            }
        }
    }
    const double answerNs = nanosecondsSince(from, Answers);
    from = std::chrono::steady_clock::now();
    const int left = scheduler.queued();
    for (request_number number = Queued; scheduler.queued() > 0 && number > 0; --number) {
        actions.clear();
        scheduler.handle(request_cancelled{number}, 110s, actions);
    }
    const double cancelNs = nanosecondsSince(from, std::max(1, left));
    std::printf("\n(e) Cost with %d queued requests of %d teams, %d targets\n", Queued, TeamCount, Targets);
    std::printf("%-34s %10.0f\n%-34s %10.0f\n%-34s %10.0f\n%-34s %10.0f\n",
                "bytes per queued request",
                bytes,
                "ns per arrival (queued)",
                arriveNs,
                "ns per answer (with one dispatch)",
                answerNs,
                "ns per cancellation",
                cancelNs);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Measures scheduling decisions in virtual time");
    std::string section = "all";
    std::uint64_t seed = 1;
    app.add_option("--section", section, "Which figures to measure")->check(CLI::IsMember({"all", "slots", "blocking", "admission", "ejection", "cost"}));
    app.add_option("--seed", seed, "Seed of arrivals, run times and decisions");
    CLI11_PARSE(app, argc, argv);
    const std::pair<const char *, void (*)(std::uint64_t)> sections[]
        = {{"slots", slotSection}, {"blocking", blockingSection}, {"admission", admissionSection}, {"ejection", ejectionSection}, {"cost", costSection}};
    for (const std::pair<const char *, void (*)(std::uint64_t)> &each : sections) {
        if (section == "all" || section == each.first) {
            each.second(seed);
            std::fflush(stdout);
        }
    }
    return 0;
}
