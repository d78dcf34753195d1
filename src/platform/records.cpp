#include "platform/records.h"

#include "base/saturating_cast.h"
#include "base/settings_reader.h"
#include "http/http_server.h"
#include "platform/record_errors.h"
#include "platform/wire_json.h"

#include <algorithm>

namespace daisypass {
namespace {

using wire::json;

constexpr std::string_view wavePrefix = "wave/";
// Of an executor, in thousandths of a core, MB or GPUs. Sums over all executors fit in 64 bits.
constexpr std::int64_t maxCapacity = 1'000'000'000'000;
// More than 30 years, so that a wave's due time is a date.
constexpr double maxWaveMs = 1e12;

/** Whether the member is absent or has a type that `matches` accepts. */
template<typename Predicate>
bool isAbsentOr(const json &object, const char *name, Predicate matches)
{
    const json *member = wire::memberOf(object, name);
    return member == nullptr || matches(*member);
}

// Members that the protocol gives but that aren't required here: an entry with one of another type comes from another writer.
bool hasOptionalMembersOfProtocol(const json &entry)
{
    constexpr auto isText = [](const json &member) {
        return member.is_string();
    };
    constexpr auto isListOfTexts = [](const json &member) {
        return member.is_array() && std::all_of(member.begin(), member.end(), [](const json &item) {
                   return item.is_string();
               });
    };
    const auto isInteger = [&entry](const char *name) {
        return isAbsentOr(entry, name, [&](const json &) {
            return wire::integerIn(entry, name).has_value();
        });
    };
    return isInteger("born") && isInteger("ColdLeftMs") && isInteger("Slots") && isAbsentOr(entry, "Machine", isText) && isAbsentOr(entry, "Version", isText)
        && isAbsentOr(entry, "Labels", isListOfTexts);
}

bool isCapacity(std::optional<std::int64_t> amount)
{
    return amount && *amount >= 0 && *amount <= maxCapacity;
}

// An executor without a GPU needn't name one. A capacity that can't be read isn't 0.
std::optional<sched::resources> readCapacity(const json &item)
{
    const std::optional<std::int64_t> cpu = wire::integerIn(item, "Cpu");
    const std::optional<std::int64_t> memoryMb = wire::integerIn(item, "MemMb");
    const std::optional<std::int64_t> gpu = wire::memberOf(item, "Gpu") == nullptr ? 0 : wire::integerIn(item, "Gpu");
    if (!isCapacity(cpu) || !isCapacity(memoryMb) || !isCapacity(gpu)) {
        return std::nullopt;
    }
    return sched::resources{*cpu, *memoryMb, *gpu};
}

sched::resources readResources(const json &item)
{
    return {wire::integerIn(item, "Cpu").value_or(0), wire::integerIn(item, "MemMb").value_or(0), wire::integerIn(item, "Gpu").value_or(0)};
}

std::vector<std::string> readStrings(const json &object, const char *name)
{
    std::vector<std::string> texts;
    const json *list = wire::arrayIn(object, name);
    if (list == nullptr) {
        return texts;
    }
    for (const json &item : *list) {
        if (item.is_string()) {
            texts.push_back(item.get<std::string>());
        }
    }
    return texts;
}

// An executor's labels are its kind, which has no dash, and its rack, such as "r1-3".
std::string findRack(const std::vector<std::string> &labels)
{
    for (const std::string &label : labels) {
        if (label.size() > 1 && label.front() == 'r' && label.find('-') != std::string::npos) {
            return label;
        }
    }
    return labels.size() > 1 ? labels.back() : std::string();
}

std::optional<sched::queue_config> readQueue(const json &item)
{
    sched::queue_config queue;
    const std::optional<std::string> host = wire::stringIn(item, "Host");
    const std::optional<std::string> prefix = wire::stringIn(item, "PathPrefix");
    const std::optional<std::string> pool = wire::stringIn(item, "Service");
    if (!host || !prefix || !pool) {
        return std::nullopt;
    }
    queue.key = {*host, *prefix};
    queue.name = wire::stringIn(item, "Name").value_or(*prefix);
    queue.pool = *pool;
    queue.priority = wire::intIn(item, "Priority").value_or(0);
    queue.maxAttempts = wire::intIn(item, "MaxAttempts").value_or(1);
    queue.stretch = wire::numberIn(item, "Stretch").value_or(1.0);
    queue.targetDurationMs = wire::integerIn(item, "TargetDurationMs").value_or(0);
    queue.timeoutMs = wire::integerIn(item, "TimeoutMs").value_or(0);
    const json *advice = wire::memberOf(item, "Advice");
    queue.requiresAdvice = advice != nullptr && advice->is_object();
    if (queue.requiresAdvice) {
        queue.adviceValidMs = wire::integerIn(*advice, "ValidityMs").value_or(0);
        queue.adviceCost.decideMs = std::max<std::int64_t>(0, wire::integerIn(*advice, "DecideMs").value_or(0));
        queue.adviceCost.eachMs = std::max<std::int64_t>(0, wire::integerIn(*advice, "EachMs").value_or(0));
    }
    queue.isPublic = wire::boolIn(item, "Public");
    return queue;
}

std::optional<sched::tenant_config> readTenant(const json &item)
{
    const std::optional<std::string> name = wire::stringIn(item, "Name");
    if (!name || name->empty()) {
        return std::nullopt;
    }
    sched::tenant_config tenant;
    tenant.name = *name;
    tenant.keys = readStrings(item, "ApiKeys");
    tenant.weight = wire::numberIn(item, "Weight").value_or(tenant.weight);
    if (const json *cap = wire::memberOf(item, "Cap")) {
        tenant.cap = readResources(*cap);
    }
    return tenant;
}

// Configurations of deployments without tenants have no such list.
std::vector<sched::tenant_config> readTenants(const json &body)
{
    std::vector<sched::tenant_config> tenants;
    const json *list = wire::arrayIn(body, "Tenants");
    if (list == nullptr) {
        return tenants;
    }
    for (const json &item : *list) {
        if (std::optional<sched::tenant_config> tenant = readTenant(item)) {
            tenants.push_back(std::move(*tenant));
        }
    }
    return tenants;
}

std::optional<sched::pool_config> readPool(const json &item)
{
    const std::optional<std::string> name = wire::stringIn(item, "Name");
    if (!name) {
        return std::nullopt;
    }
    sched::pool_config pool;
    pool.name = *name;
    pool.healthPath = wire::stringIn(item, "HealthPath").value_or("/health");
    pool.admissionCheck = wire::boolIn(item, "AdmissionCheck");
    pool.spare = wire::boolIn(item, "Spare");
    return pool;
}

std::optional<sched::vm_state> parseVmState(const std::string &name)
{
    if (name == "up") {
        return sched::vm_state::Up;
    }
    if (name == "moving") {
        return sched::vm_state::Moving;
    }
    if (name == "upkeep") {
        return sched::vm_state::Maintenance;
    }
    if (name == "down") {
        return sched::vm_state::Down;
    }
    return std::nullopt;
}

} // namespace

std::optional<sched::configuration_view> readConfiguration(std::string_view text, failure &reason)
{
    const std::optional<json> body = parseRecord(text, reason);
    if (!body) {
        return std::nullopt;
    }
    const std::optional<std::int64_t> version = wire::integerIn(*body, "Version");
    const json *routes = wire::arrayIn(*body, "Routes");
    const json *services = wire::arrayIn(*body, "Services");
    if (!version || routes == nullptr || services == nullptr) {
        reason = wrongFieldType("Version, Routes, Services", "a number and two lists");
        return std::nullopt;
    }
    sched::configuration_view view;
    view.version = *version;
    for (const json &item : *routes) {
        if (std::optional<sched::queue_config> queue = readQueue(item)) {
            view.queues.push_back(std::move(*queue));
        }
    }
    for (const json &item : *services) {
        if (std::optional<sched::pool_config> pool = readPool(item)) {
            view.pools.push_back(std::move(*pool));
        }
    }
    view.tenants = readTenants(*body);
    if (const json *limits = wire::memberOf(*body, "Limits")) {
        view.maxBodyBytes = wire::integerIn(*limits, "MaxBodyBytes").value_or(0);
    }
    return view;
}

std::optional<sched::wave_request> readWave(std::string_view key, std::string_view text, failure &reason)
{
    if (!key.starts_with(wavePrefix)) {
        return std::nullopt;
    }
    const std::optional<json> body = parseRecord(text, reason);
    if (!body) {
        return std::nullopt;
    }
    const std::optional<std::int64_t> number = wire::integerIn(*body, "Wave");
    if (!number || wire::arrayIn(*body, "Machines") == nullptr) {
        reason = wrongFieldType("Wave, Machines", "a number and a list");
        return std::nullopt;
    }
    constexpr double millisPerSecond = 1'000.0;
    sched::wave_request wave;
    wave.wave = *number;
    wave.vms = readStrings(*body, "Machines");
    wave.durationMs = saturatingCast<std::int64_t>(std::clamp(wire::numberIn(*body, "DurationS").value_or(0) * millisPerSecond, 0.0, maxWaveMs));
    wave.cap = std::max(1, wire::intIn(*body, "Cap").value_or(1));
    return wave;
}

std::string waveStatusKey(std::int64_t wave)
{
    return std::string(wavePrefix) + std::to_string(wave);
}

std::string encodeWaveStatus(std::int64_t wave, bool completed)
{
    return wire::dump(json{{"Wave", wave}, {"State", completed ? "completed" : "running"}});
}

std::optional<sched::executor_entry> readExecutor(std::string_view id, std::string_view text, failure &reason)
{
    const std::optional<json> body = parseRecord(text, reason);
    if (!body) {
        return std::nullopt;
    }
    const std::optional<std::string> pool = wire::stringIn(*body, "Service");
    const std::optional<std::string> address = wire::stringIn(*body, "Address");
    const std::optional<std::string> state = wire::stringIn(*body, "State");
    const std::optional<std::string> zone = wire::stringIn(*body, "Zone");
    const std::optional<std::int64_t> sequence = wire::integerIn(*body, "Sequence");
    const std::optional<std::int64_t> clock = wire::integerIn(*body, "ClockMs");
    const json *capacityItem = wire::memberOf(*body, "Capacity");
    const std::optional<sched::resources> capacity = capacityItem == nullptr ? std::nullopt : readCapacity(*capacityItem);
    if (!pool || !address || !state || !zone || !sequence || !clock || !capacity) {
        reason = wrongFieldType("executor", "Service, Address, Zone, State, Sequence, ClockMs and Capacity");
        return std::nullopt;
    }
    if (!hasOptionalMembersOfProtocol(*body)) {
        reason = wrongFieldType("executor", "born, ColdLeftMs, Slots, Machine, Version and Labels of the protocol's types");
        return std::nullopt;
    }
    if (*state != "ready" && *state != "draining") {
        reason = wrongFieldType("State", "ready or draining");
        return std::nullopt;
    }
    failure badAddress;
    if (!parseEndpoint(*address, badAddress)) {
        reason = badAddress;
        return std::nullopt;
    }
    sched::executor_entry entry;
    entry.id = std::string(id);
    entry.pool = *pool;
    entry.address = *address;
    entry.availabilityZone = *zone;
    entry.draining = *state == "draining";
    entry.capacity = *capacity;
    entry.labels = readStrings(*body, "Labels");
    entry.rack = findRack(entry.labels);
    entry.vm = wire::stringIn(*body, "Machine").value_or("");
    entry.startedUnixMs = wire::integerIn(*body, "born").value_or(0);
    entry.clockMs = *clock;
    entry.warmupLeftMs = wire::integerIn(*body, "ColdLeftMs").value_or(0);
    return entry;
}

std::optional<sched::vm_entry> readVm(const json &item)
{
    const std::optional<std::string> name = wire::stringIn(item, "Machine");
    const std::optional<std::string> pool = wire::stringIn(item, "Pool");
    if (!name || !pool) {
        return std::nullopt;
    }
    sched::vm_entry vm;
    vm.vm = *name;
    vm.pool = *pool;
    // A VM in a state that isn't known here must not be used, but it isn't gone either.
    vm.state = parseVmState(wire::stringIn(item, "State").value_or("")).value_or(sched::vm_state::Down);
    vm.availabilityZone = wire::stringIn(item, "Zone").value_or("");
    vm.labels = readStrings(item, "Labels");
    vm.executor = wire::stringIn(item, "Id").value_or("");
    return vm;
}

// The name of the scheme ignores letter case (RFC 9110, section 11.1).
std::optional<std::string_view> readKey(std::string_view value)
{
    constexpr std::string_view scheme = "Bearer";
    if (!equalIgnoringCase(value.substr(0, scheme.size()), scheme)) {
        return std::nullopt;
    }
    value.remove_prefix(scheme.size());
    const std::size_t first = value.find_first_not_of(' ');
    if (first == 0 || first == std::string_view::npos) {
        return std::nullopt;
    }
    const std::size_t last = value.find_last_not_of(' ');
    return value.substr(first, last - first + 1);
}

std::string encodeJobState(std::string_view state)
{
    return wire::dump(json{{"State", state}});
}

std::string encodeWaitingCount(std::int64_t waiting)
{
    return wire::dump(json{{"Waiting", waiting}});
}

} // namespace daisypass
