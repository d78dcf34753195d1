#include "kernel/configuration_keys.h"

#include <array>
#include <cstdlib>

namespace daisypass {
namespace {

constexpr double million = 1'000'000;

constexpr std::array keys = std::to_array<configuration_key>({
    {"pool", "name", key_kind::Text, "", 0, 0, "", "", "Name of the pool, unique in the deployment."},
    {"pool", "slots_per_target", key_kind::Integer, "requests", 1, 1024, "", "8", "Requests that one target runs at once."},
    {"pool", "connections_per_target", key_kind::Integer, "connections", 1, 65536, "", "64", "Connections that one target accepts from all entries."},
    {"pool",
     "min_available",
     key_kind::Integer,
     "VMs",
     0,
     million,
     "",
     "",
     "Availability budget: VMs that must be serving. Required, because no default suits every pool."},
    {"pool",
     "headroom",
     key_kind::Enumeration,
     "",
     0,
     0,
     "none vm rack zone",
     "vm",
     "Failure domain whose loss must still fit in the budget while a planned drain lasts."},
    {"pool",
     "at_most_once",
     key_kind::Enumeration,
     "",
     0,
     0,
     "claim ticket",
     "claim",
     "How requests that are not repeatable are kept from running twice: a row in the table service, or a ticket without a store write."},
    {"pool", "queue_limit", key_kind::Integer, "requests", 1, million, "", "10000", "Queued requests per entry; more are refused as overloaded."},
    {"pool",
     "team_queue_limit",
     key_kind::Integer,
     "requests",
     1,
     million,
     "",
     "2000",
     "Queued requests of one team per entry, so that one team cannot fill the queue."},
    {"pool", "scheduling", key_kind::Text, "", 0, 0, "", "\"bands\"", "Scheduling policy."},
    {"pool",
     "balancing",
     key_kind::Enumeration,
     "",
     0,
     0,
     "none follow-demand hysteresis",
     "hysteresis",
     "Rebalancing policy. The default moves VMs only for lasting shifts of demand."},
    {"pool", "long_share", key_kind::Number, "share of slots", 0.1, 0.9, "", "0.5", "Slots that long work may hold; the rest stays free for short work."},
    {"pool", "retry_budget", key_kind::Number, "retries per request", 0, 1, "", "0.1", "Bounds the load that retries add when many targets refuse."},
    {"pool", "default_deadline_ms", key_kind::Integer, "ms", 1, 86'400'000, "", "10000", "Deadline of a request that names none."},
    {"pool",
     "max_ejected_share",
     key_kind::Number,
     "share of targets",
     0,
     1,
     "",
     "0.3",
     "Targets that an entry may eject at once; a fault common to all targets must not empty the pool."},
    {"pool", "target_path", key_kind::Text, "", 0, 0, "", "\"/run\"", "Path of the target's endpoint."},
    {"pool", "vm", key_kind::Object, "", 0, 0, "", "{}", "Size of the pool's VMs."},
    {"pool.vm", "processors", key_kind::Integer, "processors", 0, 100'000, "", "0", "Processors of each VM; 0 means not stated."},
    {"pool.vm", "memory_mib", key_kind::Integer, "MiB", 0, 1'000'000'000, "", "0", "Memory of each VM; 0 means not stated."},
    {"pool.vm", "accelerators", key_kind::Integer, "accelerators", 0, 100'000, "", "0", "Accelerators of each VM."},
    {"vm", "id", key_kind::Text, "", 0, 0, "", "", "Identity of the VM in the platform's list."},
    {"vm", "pool", key_kind::Text, "", 0, 0, "", "", "Desired pool. A VM that is in another pool is moved by a drain."},
    {"vm", "address", key_kind::Address, "", 0, 0, "", "", "IP number and port of the target."},
    {"vm", "availability_zone", key_kind::Text, "", 0, 0, "", "", "Largest failure domain of the VM."},
    {"vm", "rack", key_kind::Text, "", 0, 0, "", "", "Rack of the VM, unique in the deployment."},
    {"team", "name", key_kind::Text, "", 0, 0, "", "", "Name of the team, as in Daisypass-Team."},
    {"team", "weight", key_kind::Number, "share", 0.01, 1000, "", "1", "Share of the team in deficit round robin."},
    {"team", "pools", key_kind::TextArray, "", 0, 0, "", "[]", "Pools that the team may use; empty means all."},
    {"team", "quota", key_kind::Integer, "processors", 0, million, "", "0", "Processors that the team's tasks may hold at once; 0 means no limit."},
    {"team", "urgent", key_kind::Boolean, "", 0, 0, "", "false", "Whether the team's work starts ahead of other teams' work."},
    {"wave", "name", key_kind::Text, "", 0, 0, "", "", "Name of the maintenance wave."},
    {"wave", "pools", key_kind::TextArray, "", 0, 0, "", "", "Pools that the wave maintains; a pool is in one wave at most."},
    {"wave", "period_days", key_kind::Integer, "days", 1, 3650, "", "35", "Every VM is maintained once in this time."},
    {"wave", "parallel", key_kind::Integer, "VMs", 1, 10'000, "", "1", "VMs of one pool in maintenance at once, within the budget."},
    {"wave", "window", key_kind::Object, "", 0, 0, "", "{}", "When drains may begin; the whole day on every day by default."},
    {"wave.window",
     "weekdays",
     key_kind::TextArray,
     "",
     0,
     0,
     "sunday monday tuesday wednesday thursday friday saturday",
     "[]",
     "Days (UTC) on which the window opens; empty means every day."},
    {"wave.window", "start_minute", key_kind::Integer, "minutes after 00:00 UTC", 0, 1439, "", "0", "When the window opens."},
    {"wave.window",
     "length_minutes",
     key_kind::Integer,
     "minutes",
     15,
     1440,
     "",
     "1440",
     "How long the window stays open. The least value is the planning time of one VM."},
    {"deployment", "weights", key_kind::Object, "", 0, 0, "", "{}", "Relative weights of the four measures."},
    {"deployment.weights", "buffer", key_kind::Number, "weight", 0, 1000, "", "1", "Weight of the cost of spare capacity."},
    {"deployment.weights", "rollout", key_kind::Number, "weight", 0, 1000, "", "1", "Weight of the time that a configuration takes to roll out."},
    {"deployment.weights", "moves", key_kind::Number, "weight", 0, 1000, "", "1", "Weight of the number of VM moves between pools."},
    {"deployment.weights", "waiting", key_kind::Number, "weight", 0, 1000, "", "1", "Weight of short work that waits behind long work."},
});

std::string decimal(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') {
        text.pop_back();
    }
    return text;
}

} // namespace

std::span<const configuration_key> configurationKeys()
{
    return keys;
}

const configuration_key &configurationKey(std::string_view section, std::string_view name)
{
    for (const configuration_key &key : keys) {
        if (key.section == section && key.name == name) {
            return key;
        }
    }
    std::abort();
}

std::string describeRange(const configuration_key &key)
{
    switch (key.kind) {
    case key_kind::Integer:
        return "an integer from " + decimal(key.minimum) + " to " + decimal(key.maximum);
    case key_kind::Number:
        return "a number from " + decimal(key.minimum) + " to " + decimal(key.maximum);
    case key_kind::Boolean:
        return "true or false";
    case key_kind::Text:
        return "a non-empty string";
    case key_kind::TextArray:
        return key.words.empty() ? "an array of strings" : "an array of " + std::string(key.words);
    case key_kind::Enumeration:
        return "one of " + std::string(key.words);
    case key_kind::Address:
        return "IP number and port";
    case key_kind::Object:
        return "an object";
    }
    return "";
}

std::vector<std::string_view> splitWords(std::string_view words)
{
    std::vector<std::string_view> found;
    while (!words.empty()) {
        const std::size_t blank = words.find(' ');
        found.push_back(words.substr(0, blank));
        words = blank == std::string_view::npos ? std::string_view{} : words.substr(blank + 1);
    }
    return found;
}

} // namespace daisypass
