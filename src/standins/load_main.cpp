// daisypass-load: open-loop load over the pools of a configuration directory, checked against the targets' records.
// Exit status: 0 all outcomes agree with the records, 1 a reported outcome disagrees with them, 2 wrong usage or unreadable input.

#include "kernel/configuration.h"
#include "standins/load_report.h"

#include <CLI/CLI.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace daisypass;

namespace {

struct program_options
{
    std::string configDirectory;
    std::vector<std::string> entries;
    std::string direct;
    std::vector<std::string> executions;
    std::vector<std::string> onlyPools;
    bool check = false;
    double rate = 100;
    double seconds = 10;
    double peakSeconds = 4;
    std::int64_t shortMs = 5;
    std::int64_t longMs = 500;
    std::int64_t deadlineMs = 5'000;
    load_options load;
};

std::optional<configuration> readConfiguration(const std::string &directory, std::vector<failure> &failures)
{
    std::vector<configuration_file> files;
    for (const std::filesystem::directory_entry &entry : std::filesystem::recursive_directory_iterator(directory)) {
        if (entry.is_regular_file() && entry.path().extension() == ".json") {
            std::ifstream input(entry.path());
            std::ostringstream text;
            text << input.rdbuf();
            files.push_back({std::filesystem::relative(entry.path(), directory).string(), text.str()});
        }
    }
    return parseConfiguration(files, failures);
}

bool mayUse(const team_config &team, const std::string &pool)
{
    return team.pools.empty() || std::find(team.pools.begin(), team.pools.end(), pool) != team.pools.end();
}

std::vector<load_pool> poolsOf(const configuration &config, const std::vector<std::string> &only)
{
    std::vector<load_pool> pools;
    for (const std::pair<const std::string, pool_config> &item : config.pools) {
        const std::string &name = item.first;
        if (!only.empty() && std::find(only.begin(), only.end(), name) == only.end()) {
            continue;
        }
        load_pool chosen{name, item.second.atMostOnce == at_most_once_mode::Ticket, {}};
        for (const std::pair<const std::string, team_config> &team : config.teams) {
            if (mayUse(team.second, name)) {
                chosen.teams.push_back(team.first);
            }
        }
        if (!chosen.teams.empty()) {
            pools.push_back(std::move(chosen));
        }
    }
    return pools;
}

bool addEntries(program_options &options)
{
    options.load.direct = !options.direct.empty();
    if (options.load.direct) {
        options.entries = {options.direct};
    }
    for (const std::string &text : options.entries) {
        failure reason;
        const std::optional<endpoint> entry = parseEndpoint(text, reason);
        if (!entry) {
            std::cerr << describe(reason) << '\n';
            return false;
        }
        options.load.entries.push_back(*entry);
    }
    return true;
}

bool prepare(program_options &options)
{
    if (!addEntries(options)) {
        return false;
    }
    if (options.load.direct && options.configDirectory.empty()) {
        options.load.pools = {{"direct", false, {"direct"}}};
    } else {
        std::vector<failure> failures;
        const std::optional<configuration> config = readConfiguration(options.configDirectory, failures);
        if (!config) {
            for (const failure &each : failures) {
                std::cerr << describe(each) << '\n';
            }
            return false;
        }
        options.load.pools = poolsOf(*config, options.onlyPools);
        for (const std::pair<const std::string, vm_config> &vm : config->vms) {
            if (options.check) {
                options.executions.push_back(toString(vm.second.address));
            }
        }
    }
    options.load.demand.meanRate = options.rate;
    options.load.demand.peakLength = std::chrono::duration_cast<duration>(std::chrono::duration<double>(options.peakSeconds));
    options.load.length = std::chrono::duration_cast<duration>(std::chrono::duration<double>(options.seconds));
    options.load.shortRun = std::chrono::milliseconds(options.shortMs);
    options.load.longRun = std::chrono::milliseconds(options.longMs);
    options.load.deadline = std::chrono::milliseconds(options.deadlineMs);
    return !options.load.pools.empty() && !options.load.entries.empty();
}

int run(program_options &options)
{
    load_run load(options.load);
    load.start();
    load.wait();
    const std::vector<load_sample> samples = load.takeSamples();
    printLoad(std::cout, samples, options.load.length);
    if (options.executions.empty()) {
        return 0;
    }
    failure reason;
    const std::optional<std::vector<execution_record>> executions = collectExecutions(options.executions, reason);
    if (!executions) {
        std::cerr << describe(reason) << '\n';
        return 2;
    }
    const check_result result = checkSamples(samples, *executions);
    printCheck(std::cout, result);
    return result.disagreements.empty() && result.notRunAfterRun == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    program_options options;
    CLI::App app("Open-loop load with peaks; reported outcomes are checked against the targets' records of their runs.");
    app.set_version_flag("--version", std::string("daisypass-load ") + DAISYPASS_VERSION);
    app.add_option("--config", options.configDirectory, "configuration directory")->check(CLI::ExistingDirectory);
    app.add_option("--entry", options.entries, "caller address of an entry; may be repeated");
    app.add_option("--direct", options.direct, "address of a target to call without an entry, as the baseline for latency");
    app.add_flag("--check", options.check, "check outcomes against the records of every VM of the configuration");
    app.add_option("--executions", options.executions, "address of a target, or a file of records; may be repeated");
    app.add_option("--pool", options.onlyPools, "only this pool; may be repeated");
    app.add_option("--rate", options.rate, "mean requests per second of one pool")->check(CLI::Range(0.01, 100'000.0))->capture_default_str();
    app.add_option("--seconds", options.seconds, "length of the load in seconds")->check(CLI::Range(0.1, 3'600.0))->capture_default_str();
    app.add_option("--peak-seconds", options.peakSeconds, "length of each pool's peak in seconds")->check(CLI::Range(0.1, 600.0))->capture_default_str();
    app.add_option("--short-ms", options.shortMs, "run time of a short request in ms")->capture_default_str();
    app.add_option("--long-ms", options.longMs, "run time of a long request in ms")->capture_default_str();
    app.add_option("--long-share", options.load.longShare, "share of long requests")->check(CLI::Range(0.0, 1.0))->capture_default_str();
    app.add_option("--keyed-share", options.load.keyedShare, "share of requests with an idempotency key")->check(CLI::Range(0.0, 1.0))->capture_default_str();
    app.add_option("--repeatable-share", options.load.repeatableShare, "share of repeatable requests among those without a key")
        ->check(CLI::Range(0.0, 1.0))
        ->capture_default_str();
    app.add_option("--deadline-ms", options.deadlineMs, "deadline of each request in ms")->check(CLI::Range(1, 3'600'000))->capture_default_str();
    app.add_option("--attempts", options.load.attempts, "attempts for a key whose outcome is unknown")->check(CLI::Range(1, 100))->capture_default_str();
    app.add_option("--threads", options.load.clientThreads, "client threads")->check(CLI::Range(1, 16))->capture_default_str();
    app.add_option("--seed", options.load.seed, "seed of the random arrivals and request types")->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    if (!prepare(options)) {
        std::cerr << "daisypass-load: needs --config with at least one pool and team, and --entry or --direct\n";
        return 2;
    }
    return run(options);
}
