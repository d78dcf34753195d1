// Measures scheduling decisions in virtual time with fixed seeds (slot policies, head-of-line blocking, admission, ejection), and the time and
// memory that pool_scheduler itself takes.
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

constexpr int targetCount = 10;
constexpr int slotCount = 8;
constexpr duration shortRun = 20ms;
constexpr duration longRun = 10s;
constexpr duration roundTrip = 2ms;
// Short requests per second that the pool can serve. An entry occupies a slot from the dispatch to the response, hence the round trip.
const double capacity = targetCount * slotCount / std::chrono::duration<double>(shortRun + roundTrip).count();

struct stream
{
    double perSecond = 0;
    timestamp from{};
    timestamp until{};
    duration run = shortRun;
    duration deadline = 2s;
    int group = 0;
    std::string team = "counter";
    std::string requestClass = "lookup";
};

enum class caller_spread {
    /** Every entry gets the same share of the requests, as from a load balancer. */
    Even,
    /** The entry is drawn with weight 1 / (rank + 1), so the first gets several times the last one's share. */
    Uneven,
};

// Poisson arrivals with exponential run times.
std::vector<simulated_request> generate(const std::vector<stream> &streams, std::size_t entries, std::uint64_t seed, caller_spread spread)
{
    std::mt19937_64 random(seed);
    std::vector<double> weights;
    for (std::size_t entry = 0; entry < entries; ++entry) {
        weights.push_back(spread == caller_spread::Even ? 1 : 1.0 / static_cast<double>(entry + 1));
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
    std::sort(requests.begin(), requests.end(), [](const simulated_request &remaining, const simulated_request &right) {
        return remaining.arrival < right.arrival;
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

// The wait is the time from a request's arrival at an entry to its start on the target, including 1 ms of latency between the two.
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

// Completed requests that started on a target in this time, as a share of the pool's capacity.
double goodput(const pool_simulation &simulation, timestamp from, timestamp until)
{
    int started = 0;
    for (const simulated_request &request : simulation.requests()) {
        started += request.completed && request.started >= from && request.started < until ? 1 : 0;
    }
    return started / (capacity * std::chrono::duration<double>(until - from).count());
}

// The lowest completion rate of any entry. A low value shows an entry that is starved by the others.
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
    return 100 * slotSeconds / (targetCount * slotCount * std::chrono::duration<double>(until - from).count());
}

simulation_options baseOptions(std::uint64_t seed)
{
    simulation_options options;
    options.targets = targetCount;
    options.seed = seed;
    options.config.slotsPerTarget = slotCount;
    return options;
}

const char *const slotPolicies[] = {"static-shares", "pool-owner", "refusal-only", "lend"};

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
                static_cast<double>(totals.borrowRequests) / static_cast<double>(entries) / std::chrono::duration<double>(until - from).count());
}

struct slot_phase
{
    const char *name;
    double load;
    bool frozen;
    bool cutOff;
};

void slotPhases(std::uint64_t seed, caller_spread spread)
{
    std::printf("\n(a) Slot policies: %d targets of %d slots, 20 ms work, callers %s, deadline 2 s\n",
                targetCount,
                slotCount,
                spread == caller_spread::Even ? "spread evenly over the entries" : "spread 1 : 1/2 : 1/3 ... over the entries");
    std::printf("load is relative to the %.0f requests/s that the pool serves when a slot is held for run time and round trip\n", capacity);
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
            for (const char *policy : slotPolicies) {
                simulation_options options = baseOptions(seed);
                options.entries = entries;
                options.slotPolicy = policy;
                options.windowFrom = 10s;
                options.windowUntil = phase.load > 1 ? 13s : 20s;
                options.frozen = phase.frozen;
                options.cutOff = phase.cutOff;
                options.faultFrom = 10s;
                options.faultUntil = 15s;
                // Under every policy the faulty entry is the pool's owner, on which the policy pool-owner depends.
                std::vector<std::string> names;
                for (std::size_t entry = 0; entry < entries; ++entry) {
                    names.push_back("entry-" + std::to_string(entry));
                }
                options.faultyEntry = static_cast<std::size_t>(std::find(names.begin(), names.end(), rendezvousOwner(names, "pool")) - names.begin());
                // Before a peak the load is half the capacity.
                const double before = (phase.load > 1 ? 0.5 : phase.load) * capacity;
                const std::vector<stream> streams{{before, 0s, options.windowFrom}, {phase.load * capacity, options.windowFrom, options.windowUntil}};
                pool_simulation simulation(options, generate(streams, entries, seed, spread));
                simulation.run(options.windowUntil + 8s);
                printSlotRow(policy, entries, phase.name, simulation, options.windowFrom, options.windowUntil);
            }
        }
    }
}

void slotSection(std::uint64_t seed)
{
    slotPhases(seed, caller_spread::Uneven);
    slotPhases(seed, caller_spread::Even);
}

struct blocking_case
{
    const char *name;
    const char *scheduling;
    /** Offered load of long requests, as a share of all slots. */
    double longLoad;
    /** Team and class of the long requests. In the cases named "wrong" they are submitted with the class of the short requests. */
    const char *longTeam;
    const char *longClass;
};

void blockingSection(std::uint64_t seed)
{
    std::printf(
        "\n(b) Head-of-line blocking: short 20 ms work; long 10 s work offered for 1.0 or 0.4 of all slots; long_share 0.5, deadlines 30 s and 120 s\n");
    std::printf("%-28s %7s %5s %8s %8s %8s %8s %9s %9s\n", "case", "entries", "load", "p50 ms", "p99 ms", "ratio", "done%", "long/min", "long max");
    const blocking_case cases[] = {
        {"fifo, none", "fifo", 0, "", ""},
        {"fifo, long 1.0", "fifo", 1, "recon", "reconcile"},
        {"bands, none", "bands", 0, "", ""},
        {"bands, long 1.0", "bands", 1, "recon", "reconcile"},
        {"bands, wrong, own team", "bands", 1, "recon", "lookup"},
        {"bands, wrong, same team", "bands", 1, "counter", "lookup"},
        {"fifo, long 0.4", "fifo", 0.4, "recon", "reconcile"},
        {"bands, long 0.4", "bands", 0.4, "recon", "reconcile"},
        {"bands, wrong 0.4, same team", "bands", 0.4, "counter", "lookup"},
    };
    for (std::size_t entries : {1U, 4U}) {
        for (double load : {0.2, 0.3, 0.4}) {
            double baselineP99Ms = 0;
            for (const blocking_case &each : cases) {
                simulation_options options = baseOptions(seed);
                options.entries = entries;
                options.config.scheduling = each.scheduling;
                const timestamp from = 60s;
                const timestamp until = 120s;
                options.windowFrom = from;
                options.windowUntil = until;
                std::vector<stream> streams{{load * capacity, 0s, until, shortRun, 30s}};
                if (each.longLoad > 0) {
                    const double perSecond = each.longLoad * targetCount * slotCount / std::chrono::duration<double>(longRun).count();
                    streams.push_back({perSecond, 5s, until, longRun, 120s, 1, each.longTeam, each.longClass});
                }
                pool_simulation simulation(options, generate(streams, entries, seed, caller_spread::Even));
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
                baselineP99Ms = each.longLoad > 0 ? baselineP99Ms : figures.p99Ms;
                std::printf("%-28s %7zu %5.2f %8.2f %8.2f %8.2f %8.1f %9d %8.1fs\n",
                            each.name,
                            entries,
                            load,
                            figures.p50Ms,
                            figures.p99Ms,
                            figures.p99Ms / baselineP99Ms,
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
                streams.push_back({0.5 * capacity * demand[team], 0s, 10s, shortRun, 1s, team, teams[team].name});
                streams.push_back({2.5 * capacity * demand[team], 10s, 15s, shortRun, 1s, team, teams[team].name});
            }
            pool_simulation simulation(options, generate(streams, entries, seed, caller_spread::Even));
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
    std::printf("\n(d) One of %d targets fails everything within 1 ms from second 10 to 30, load 0.6\n", targetCount);
    std::printf("%-18s %7s %9s %9s %8s %8s\n", "ejection", "entries", "failed", "failed%", "p50 ms", "p99 ms");
    for (std::size_t entries : {1U, 4U, 8U}) {
        for (double share : {0.0, 0.3}) {
            simulation_options options = baseOptions(seed);
            options.entries = entries;
            options.config.maxEjectedShare = share;
            options.failingFrom = 10s;
            options.windowFrom = 10s;
            options.windowUntil = 30s;
            pool_simulation simulation(options, generate({{0.6 * capacity, 0s, 30s}}, entries, seed, caller_spread::Even));
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

// malloc maps large blocks outside the heap, so heap bytes and mapped bytes are added.
std::size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

double nanosecondsSince(std::chrono::steady_clock::time_point from, int count)
{
    return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - from).count() / count;
}

void costSection(std::uint64_t seed)
{
    constexpr int queuedCount = 100'000;
    constexpr int teamCount = 20;
    pool_config config;
    config.queueLimit = 2 * queuedCount;
    config.teamQueueLimit = 2 * queuedCount;
    pool_scheduler scheduler(config, seed);
    view_changed view;
    view.self = "a";
    view.config = config;
    for (int number = 0; number < targetCount; ++number) {
        view.targets.push_back({"vm-" + std::to_string(number), "a", {}, {}});
    }
    std::vector<scheduler_action> actions;
    scheduler.handle(view, 100s, actions);
    std::vector<request_info> requests(queuedCount + 2000);
    for (std::size_t index = 0; index < requests.size(); ++index) {
        requests[index].number = index + 1;
        requests[index].team = "team-" + std::to_string(index % teamCount);
        requests[index].requestClass = index % 10 == 0 ? "report" : "lookup";
        requests[index].deadline = 100s + 3600s;
    }
    const std::size_t before = allocatedBytes();
    std::chrono::steady_clock::time_point from = std::chrono::steady_clock::now();
    for (int index = 0; index < queuedCount; ++index) {
        actions.clear();
        scheduler.handle(request_arrived{requests[index]}, 100s, actions);
    }
    const double arriveNs = nanosecondsSince(from, queuedCount);
    const double bytes = static_cast<double>(allocatedBytes() - before) / scheduler.queued();
    // The first 80 requests run. Each response dispatches the next queued request, whose number is in the dispatch action.
    std::vector<request_number> running;
    for (int number = 1; number <= targetCount * slotCount; ++number) {
        running.push_back(static_cast<request_number>(number));
    }
    constexpr int answerCount = 40'000;
    from = std::chrono::steady_clock::now();
    std::size_t next = 0;
    for (int count = 0; count < answerCount; ++count) {
        actions.clear();
        scheduler.handle(target_answered{running[next++], attempt_outcome::Completed, shortRun}, 100s + duration(count * 250), actions);
        for (const scheduler_action &action : actions) {
            if (const dispatch *started = std::get_if<dispatch>(&action)) {
                running.push_back(started->request);
            }
        }
    }
    const double answerNs = nanosecondsSince(from, answerCount);
    from = std::chrono::steady_clock::now();
    const int remaining = scheduler.queued();
    for (request_number number = queuedCount; scheduler.queued() > 0 && number > 0; --number) {
        actions.clear();
        scheduler.handle(request_cancelled{number}, 110s, actions);
    }
    const double cancelNs = nanosecondsSince(from, std::max(1, remaining));
    std::printf("\n(e) Cost with %d queued requests of %d teams, %d targets\n", queuedCount, teamCount, targetCount);
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
