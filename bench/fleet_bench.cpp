// Measures how time, memory and bytes of the fleet state, the fleet log and the controller grow with the numbers of VMs, pools, teams and
// entries.
//
//     daisypass-fleet-bench [--runs N]
//
// Costs per VM, pool, team and entry are the difference between two fleet sizes divided by the difference in units. Times are medians of N
// runs in this process; bytes are exact. Memory is the growth of the heap (mallinfo2) when a state of that size is copied.

#include "kernel/fleet_controller.h"
#include "services/fleet_log.h"

#include <CLI/CLI.hpp>

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <functional>

namespace daisypass {
namespace {

constexpr int pools = 62;
constexpr int teams = 670;
constexpr int entries = 8;
constexpr int vmsPerRack = 4;
constexpr int zones = 30;
constexpr int firstPort = 1024;
constexpr int portsPerAddress = 60'000;
int runs = 5;

struct fleet_size
{
    int vms = 0;
    int pools = 0;
    int teams = 0;
    int entries = 0;
};

std::string number(int value)
{
    char text[16];
    std::snprintf(text, sizeof text, "%05d", value);
    return text;
}

std::string list(const std::string &key, int count, const std::function<std::string(int)> &item)
{
    std::string text = "{\"" + key + "\": [";
    for (int index = 0; index < count; ++index) {
        text += (index > 0 ? ",\n" : "") + item(index);
    }
    return text + "]}";
}

std::vector<configuration_file> makeFiles(const fleet_size &size)
{
    std::vector<configuration_file> files;
    files.push_back({"pools.json", list("pools", size.pools, [](int index) {
                         return R"({"name": "pool-)" + number(index) + R"(", "min_available": 0, "headroom": "none"})";
                     })});
    files.push_back({"teams.json", list("teams", size.teams, [](int index) {
                         return R"({"name": "team-)" + number(index) + R"(", "weight": 2, "quota": 128})";
                     })});
    files.push_back({"vms.json", list("vms", size.vms, [&size](int index) {
                         const std::string address
                             = "127.0.0." + std::to_string(1 + index / portsPerAddress) + ':' + std::to_string(firstPort + index % portsPerAddress);
                         return R"({"id": "vm-)" + number(index) + R"(", "pool": "pool-)" + number(index % size.pools) + R"(", "address": ")" + address
                             + R"(", "availability_zone": "zone-)" + number(index % zones) + R"(", "rack": "rack-)" + number(index / vmsPerRack) + R"("})";
                     })});
    std::string pools;
    for (int index = 0; index < size.pools; ++index) {
        pools += (index > 0 ? ", " : "") + std::string("\"pool-") + number(index) + '"';
    }
    files.push_back({"waves.json", R"({"waves": [{"name": "all", "pools": [)" + pools + R"(], "parallel": 20}]})"});
    return files;
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

double nanoseconds(const std::function<void()> &work)
{
    std::vector<double> times;
    for (int run = 0; run < runs; ++run) {
        const std::chrono::steady_clock::time_point startedAt = std::chrono::steady_clock::now();
        work();
        times.push_back(std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - startedAt).count());
    }
    return median(times);
}

struct built_fleet
{
    fleet_log log{table_service(memory_table()), object_store(memory_objects())};
    fleet_state state;
    std::vector<log_record> records;

    void apply(std::vector<fleet_change> changes)
    {
        const log_record record{state.revision() + 1, "0123456789abcdef0123456789abcdef", timestamp(1'000'000), std::move(changes)};
        failure reason;
        if (!state.apply(record, log.files(), reason)) {
            std::fprintf(stderr, "%s\n", describe(reason).c_str());
            std::exit(1);
        }
        records.push_back(record);
    }

    explicit built_fleet(const fleet_size &size)
    {
        configuration_applied first{0, {}, {}, "bench"};
        failure reason;
        for (const configuration_file &file : makeFiles(size)) {
            first.changed.push_back({file.name, *log.putFile(file.text, reason)});
        }
        apply({first});
        std::vector<fleet_change> returned;
        for (const std::pair<const std::string, vm_record> &vm : state.vms()) {
            returned.emplace_back(vm_returned{vm.first, vm.second.epoch});
        }
        apply(returned);
        for (int index = 0; index < size.entries; ++index) {
            const endpoint place{"127.0.0.1", static_cast<std::uint16_t>(firstPort + index)};
            apply({entry_joined{"entry-" + number(index), static_cast<incarnation_number>(index + 1), place, place, "zone-00000"}});
        }
    }
};

std::size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

struct measurement
{
    double parseNs = 0;
    double copyNs = 0;
    double encodeNs = 0;
    double memoryBytes = 0;
    double snapshotBytes = 0;
};

measurement measure(const fleet_size &size)
{
    measurement result;
    const std::vector<configuration_file> files = makeFiles(size);
    result.parseNs = nanoseconds([&files] {
        std::vector<failure> failures;
        parseConfiguration(files, failures);
    });
    const built_fleet fleet(size);
    result.copyNs = nanoseconds([&fleet] {
        const fleet_state copy = fleet.state;
    });
    result.encodeNs = nanoseconds([&fleet] {
        fleet.state.encode();
    });
    const std::size_t before = heapBytes();
    const fleet_state copy = fleet.state;
    result.memoryBytes = static_cast<double>(heapBytes() - before);
    result.snapshotBytes = static_cast<double>(fleet.state.encode().size());
    return result;
}

void printSlope(const char *what, const fleet_size &small, const fleet_size &large, int units)
{
    const measurement low = measure(small);
    const measurement high = measure(large);
    std::printf("%-8s parse %8.0f ns  copy %7.0f ns  encode %7.0f ns  memory %6.0f B  snapshot %5.0f B\n",
                what,
                (high.parseNs - low.parseNs) / units,
                (high.copyNs - low.copyNs) / units,
                (high.encodeNs - low.encodeNs) / units,
                (high.memoryBytes - low.memoryBytes) / units,
                (high.snapshotBytes - low.snapshotBytes) / units);
}

controller_input makeInput(const fleet_state &state, timestamp now)
{
    controller_input input;
    input.now = now;
    input.storeReachable = true;
    input.platformVms.emplace();
    for (const std::pair<const std::string, vm_record> &vm : state.vms()) {
        input.platformVms->emplace(vm.first, platform_vm_state::Live);
    }
    for (const std::pair<const std::string, entry_record> &entry : state.entries()) {
        input.entries[entry.first] = {entry.second.incarnation, state.revision(), now, {}, {}};
    }
    return input;
}

void printSteps(int vms)
{
    const built_fleet fleet({vms, pools, teams, entries});
    const fleet_controller controller(fleet_controller_options{});
    // `idle` lies before the lead time of the maintenance, so nothing is due; at `due`, the end of the period, every VM is due.
    const controller_input idle = makeInput(fleet.state, std::chrono::hours(24));
    const controller_input due = makeInput(fleet.state, std::chrono::hours(24 * 36));
    const double idleNs = nanoseconds([&] {
        controller.decide(fleet.state, idle);
    });
    const double dueNs = nanoseconds([&] {
        controller.decide(fleet.state, due);
    });
    std::size_t copied = 0;
    const double inputNs = nanoseconds([&idle, &copied] {
        controller_input copy = idle;
        copy.now += std::chrono::seconds(1);
        copied += copy.platformVms->size();
    });
    if (copied == 0) {
        return;
    }
    const double forecastNs = nanoseconds([&fleet] {
        forecastWaves(fleet.state, std::chrono::hours(24 * 30));
    });
    std::printf("%6d VMs, %d pools, %d teams, %d entries: idle step %9.1f us  all due %9.1f us (%zu changes)  copy of the input %8.1f us  forecast %8.1f us\n",
                vms,
                pools,
                teams,
                entries,
                idleNs / 1e3,
                dueNs / 1e3,
                controller.decide(fleet.state, due).changes.size(),
                inputNs / 1e3,
                forecastNs / 1e3);
}

void printReplay()
{
    built_fleet fleet({1'000, pools, teams, entries});
    const std::size_t first = fleet.records.size();
    const fleet_state start = fleet.state;
    for (int round = 0; round < 1'000; ++round) {
        const std::string vm = "vm-" + number(round);
        const std::uint64_t epoch = fleet.state.vms().find(vm)->second.epoch + 1;
        std::vector<drain_confirmation> confirmations;
        for (const std::pair<const std::string, entry_record> &entry : fleet.state.entries()) {
            confirmations.push_back({entry.first, entry.second.incarnation});
        }
        fleet.apply({drain_begun{vm, epoch, drain_cause::Maintenance, "all"}});
        fleet.apply({vm_stopped{vm, epoch, confirmations}});
        fleet.apply({vm_returned{vm, epoch}});
    }
    const std::size_t count = fleet.records.size() - first;
    const double applyNs = nanoseconds([&] {
        fleet_state state = start;
        failure reason;
        for (std::size_t index = first; index < fleet.records.size(); ++index) {
            state.apply(fleet.records[index], fleet.log.files(), reason);
        }
    });
    std::vector<std::string> texts;
    std::size_t bytes = 0;
    for (std::size_t index = first; index < fleet.records.size(); ++index) {
        texts.push_back(encodeRecord(fleet.records[index]));
        bytes += texts.back().size();
    }
    const double decodeNs = nanoseconds([&texts] {
        failure reason;
        for (const std::string &text : texts) {
            decodeRecord(text, reason);
        }
    });
    std::printf(
        "replayed change: apply %.0f ns, decode %.0f ns (%zu records)\n", applyNs / static_cast<double>(count), decodeNs / static_cast<double>(count), count);
    std::printf(
        "log record bytes: drain_begun %zu, vm_stopped with %d confirmations %zu, vm_returned %zu, entry_joined %zu, configuration_applied (1 file) %zu\n",
        texts[0].size(),
        entries,
        texts[1].size(),
        texts[2].size(),
        encodeRecord(fleet.records[2]).size(),
        encodeRecord({100'000,
                      std::string(32, 'a'),
                      timestamp(1'700'000'000'000'000),
                      {configuration_applied{99'000, {{"pools.json", std::string(32, 'b')}}, {}, "operator"}}})
            .size());
    std::printf("mean of a maintenance (three records): %.0f bytes\n", static_cast<double>(bytes) * 3 / static_cast<double>(count));
}

} // namespace
} // namespace daisypass

int main(int argc, char **argv)
{
    using namespace daisypass;
    CLI::App app{"daisypass-fleet-bench: how the cost of the fleet state, the fleet log and the controller grows with the fleet"};
    app.add_option("--runs", runs, "runs of which the median is printed")->capture_default_str()->check(CLI::Range(1, 1'000));
    CLI11_PARSE(app, argc, argv);
    std::printf("per unit (difference of two sizes, median of %d runs):\n", runs);
    printSlope("VM", {1'000, pools, teams, entries}, {20'000, pools, teams, entries}, 19'000);
    printSlope("pool", {2'000, 10, teams, entries}, {2'000, 1'010, teams, entries}, 1'000);
    printSlope("team", {2'000, pools, 100, entries}, {2'000, pools, 10'100, entries}, 10'000);
    printSlope("entry", {2'000, pools, teams, 8}, {2'000, pools, teams, 1'008}, 1'000);
    printReplay();
    for (const int vms : {50, 1'000, 20'000}) {
        printSteps(vms);
    }
    const built_fleet large({20'000, pools, teams, entries});
    std::printf("snapshot of 20000 VMs: %zu bytes\n", large.state.encode().size());
    return 0;
}
