#include "kernel/configuration.h"

#include "base/saturating_cast.h"
#include "kernel/configuration_keys.h"
#include "kernel/maintenance_wave.h"
#include "kernel/policy_registry.h"

#include <algorithm>
#include <cstdlib>

namespace daisypass {
namespace {

std::string joinNames(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += ' ' + name;
    }
    return text;
}

constexpr int daysPerWeek = 7;

// Reads the keys of one section, with ranges and defaults from configurationKeys().
class section_reader
{
public:
    section_reader(std::string_view section, settings_reader &reader)
        : m_section(section)
        , m_reader(reader)
    {
    }

    std::int64_t integer(std::string_view name)
    {
        const configuration_key &key = configurationKey(m_section, name);
        std::optional<std::int64_t> fallback;
        if (!key.fallback.empty()) {
            fallback = std::atoll(std::string(key.fallback).c_str());
        }
        return m_reader.integer(name, {saturatingCast<std::int64_t>(key.minimum), saturatingCast<std::int64_t>(key.maximum)}, fallback);
    }

    int smallInteger(std::string_view name)
    {
        return static_cast<int>(integer(name));
    }

    double number(std::string_view name)
    {
        const configuration_key &key = configurationKey(m_section, name);
        return m_reader.number(name, {key.minimum, key.maximum}, std::atof(std::string(key.fallback).c_str()));
    }

    bool boolean(std::string_view name)
    {
        return m_reader.boolean(name, configurationKey(m_section, name).fallback == "true");
    }

    std::string text(std::string_view name)
    {
        const std::string_view fallback = configurationKey(m_section, name).fallback;
        if (fallback.size() < 2) {
            return m_reader.text(name);
        }
        return m_reader.text(name, std::string(fallback.substr(1, fallback.size() - 2)));
    }

    std::string word(std::string_view name)
    {
        const configuration_key &key = configurationKey(m_section, name);
        return m_reader.word(name, splitWords(key.words), std::string(key.fallback));
    }

    std::vector<std::string> texts(std::string_view name)
    {
        return m_reader.texts(name, configurationKey(m_section, name).fallback.empty());
    }

private:
    std::string_view m_section;
    settings_reader &m_reader;
};

failure_headroom headroomFromWord(std::string_view word)
{
    if (word == "none") {
        return failure_headroom::None;
    }
    if (word == "rack") {
        return failure_headroom::Rack;
    }
    return word == "zone" ? failure_headroom::Zone : failure_headroom::Vm;
}

class configuration_parser
{
public:
    explicit configuration_parser(std::vector<failure> &failures)
        : m_failures(failures)
    {
    }

    void readFile(const configuration_file &file);
    void crossCheck();

    configuration take()
    {
        return std::move(m_config);
    }

private:
    struct pool_reference
    {
        std::string pool;
        source_position where;
    };

    void readPool(settings_reader &reader);
    void readVm(settings_reader &reader);
    void readTeam(settings_reader &reader);
    void readWave(settings_reader &reader);
    void readWindow(settings_reader &reader, wave_config &wave);
    void readWeights(settings_reader &reader);
    void addPoolReferences(const std::vector<std::string> &pools, const source_position &where);
    void checkBudgets();
    void checkWaves();
    void checkWave(const wave_config &wave, const source_position &where);
    int largestFailureDomain(std::string_view pool, std::string_view excludedVm) const;

    std::vector<failure> &m_failures;
    configuration m_config;
    std::map<std::string, source_position, std::less<>> m_poolPositions;
    std::map<std::string, source_position, std::less<>> m_wavePositions;
    std::map<std::string, std::string, std::less<>> m_vmByAddress;
    std::vector<pool_reference> m_poolReferences;
    std::map<std::string, std::vector<const vm_config *>, std::less<>> m_vmsByPool;
};

void configuration_parser::readFile(const configuration_file &file)
{
    const std::string_view name = file.name;
    const bool json = name.ends_with(".json");
    const bool pools = json && (name == "pools.json" || name.starts_with("pools/"));
    const bool vms = json && name.starts_with("vms");
    const bool teams = json && name.starts_with("teams");
    const bool waves = json && name.starts_with("waves");
    if (!pools && !vms && !teams && !waves && name != "deployment.json") {
        m_failures.push_back(
            {failure_code::UnknownKey, file.name, {file.name}, "pools.json, pools/*.json, vms*.json, teams*.json, waves*.json or deployment.json"});
        return;
    }
    failure reason;
    const std::optional<json_document> document = json_document::parse(file.text, name, reason);
    if (!document) {
        m_failures.push_back(reason);
        return;
    }
    settings_reader reader(document->root(), m_failures);
    if (pools) {
        reader.objects("pools", true, [this](settings_reader &pool) {
            readPool(pool);
        });
    } else if (vms) {
        reader.objects("vms", true, [this](settings_reader &vm) {
            readVm(vm);
        });
    } else if (teams) {
        reader.objects("teams", true, [this](settings_reader &team) {
            readTeam(team);
        });
    } else if (waves) {
        reader.objects("waves", true, [this](settings_reader &wave) {
            readWave(wave);
        });
    } else {
        reader.object("weights", false, [this](settings_reader &weights) {
            readWeights(weights);
        });
    }
    reader.finish();
}

void configuration_parser::readPool(settings_reader &reader)
{
    section_reader keys("pool", reader);
    pool_config pool;
    pool.name = keys.text("name");
    pool.slotsPerTarget = keys.smallInteger("slots_per_target");
    pool.connectionsPerTarget = keys.smallInteger("connections_per_target");
    pool.minAvailable = keys.smallInteger("min_available");
    pool.headroom = headroomFromWord(keys.word("headroom"));
    pool.atMostOnce = keys.word("at_most_once") == "ticket" ? at_most_once_mode::Ticket : at_most_once_mode::Claim;
    pool.queueLimit = keys.smallInteger("queue_limit");
    pool.teamQueueLimit = keys.smallInteger("team_queue_limit");
    pool.scheduling = keys.text("scheduling");
    pool.balancing = keys.word("balancing");
    pool.longShare = keys.number("long_share");
    pool.retryBudget = keys.number("retry_budget");
    pool.defaultDeadlineMs = keys.integer("default_deadline_ms");
    pool.maxEjectedShare = keys.number("max_ejected_share");
    pool.targetPath = keys.text("target_path");
    reader.object("vm", false, [&pool](settings_reader &size) {
        section_reader sizeKeys("pool.vm", size);
        pool.vm = {sizeKeys.integer("processors"), sizeKeys.integer("memory_mib"), sizeKeys.integer("accelerators")};
    });
    if (!findPolicy<scheduling_policy>(pool.scheduling)) {
        reader.report(failure_code::UnknownPolicy, "scheduling", pool.scheduling, "one of" + joinNames(policyNames<scheduling_policy>()));
    }
    if (!pool.targetPath.starts_with('/')) {
        reader.report(failure_code::OutOfRange, "target_path", pool.targetPath, "a path that starts with /");
    }
    if (pool.name.empty()) {
        return;
    }
    m_poolPositions.try_emplace(pool.name, reader.position("name"));
    if (!m_config.pools.try_emplace(pool.name, pool).second) {
        reader.report(failure_code::Duplicate, "name", pool.name, "each pool once");
    }
}

void configuration_parser::readVm(settings_reader &reader)
{
    section_reader keys("vm", reader);
    vm_config vm;
    vm.id = keys.text("id");
    vm.pool = keys.text("pool");
    vm.address = reader.address("address");
    vm.availabilityZone = keys.text("availability_zone");
    vm.rack = keys.text("rack");
    if (!vm.pool.empty()) {
        m_poolReferences.push_back({vm.pool, reader.position("pool")});
    }
    if (vm.id.empty()) {
        return;
    }
    if (vm.address.port != 0) {
        const std::map<std::string, std::string, std::less<>>::iterator other = m_vmByAddress.try_emplace(toString(vm.address), vm.id).first;
        if (other->second != vm.id) {
            reader.report(failure_code::Duplicate, "address", toString(vm.address), "each address once; it is also that of VM " + other->second);
        }
    }
    const auto inserted = m_config.vms.try_emplace(vm.id, vm);
    if (!inserted.second) {
        const std::string &first = inserted.first->second.pool;
        reader.report(failure_code::Duplicate, "id", vm.id, first == vm.pool ? "each VM once" : "each VM in one pool; it is also in pool " + first);
    }
}

void configuration_parser::readTeam(settings_reader &reader)
{
    section_reader keys("team", reader);
    team_config team;
    team.name = keys.text("name");
    team.weight = keys.number("weight");
    team.pools = keys.texts("pools");
    team.quotaProcessors = keys.integer("quota");
    team.urgent = keys.boolean("urgent");
    addPoolReferences(team.pools, reader.position("pools"));
    if (!team.name.empty() && !m_config.teams.try_emplace(team.name, team).second) {
        reader.report(failure_code::Duplicate, "name", team.name, "each team once");
    }
}

void configuration_parser::readWave(settings_reader &reader)
{
    section_reader keys("wave", reader);
    wave_config wave;
    wave.name = keys.text("name");
    wave.pools = keys.texts("pools");
    wave.periodDays = keys.smallInteger("period_days");
    wave.parallel = keys.smallInteger("parallel");
    reader.object("window", false, [this, &wave](settings_reader &window) {
        readWindow(window, wave);
    });
    addPoolReferences(wave.pools, reader.position("pools"));
    for (const std::string &pool : wave.pools) {
        for (const std::pair<const std::string, wave_config> &other : m_config.waves) {
            if (std::find(other.second.pools.begin(), other.second.pools.end(), pool) != other.second.pools.end()) {
                reader.report(failure_code::Duplicate, "pools", pool, "each pool in one wave; it is also in wave " + other.first);
            }
        }
    }
    if (wave.name.empty()) {
        return;
    }
    m_wavePositions.try_emplace(wave.name, reader.position("name"));
    if (!m_config.waves.try_emplace(wave.name, wave).second) {
        reader.report(failure_code::Duplicate, "name", wave.name, "each wave once");
    }
}

void configuration_parser::readWindow(settings_reader &reader, wave_config &wave)
{
    section_reader keys("wave.window", reader);
    wave.windowStartMinute = keys.smallInteger("start_minute");
    wave.windowLengthMinutes = keys.smallInteger("length_minutes");
    const std::vector<std::string_view> names = splitWords(configurationKey("wave.window", "weekdays").words);
    for (const std::string &day : keys.texts("weekdays")) {
        const auto found = std::find(names.begin(), names.end(), day);
        if (found == names.end()) {
            reader.report(failure_code::OutOfRange, "weekdays", day, describeRange(configurationKey("wave.window", "weekdays")));
        } else {
            wave.weekdays.push_back(static_cast<int>(found - names.begin()));
        }
    }
    std::sort(wave.weekdays.begin(), wave.weekdays.end());
    wave.weekdays.erase(std::unique(wave.weekdays.begin(), wave.weekdays.end()), wave.weekdays.end());
}

void configuration_parser::readWeights(settings_reader &reader)
{
    section_reader keys("deployment.weights", reader);
    m_config.weights = {keys.number("buffer"), keys.number("rollout"), keys.number("moves"), keys.number("waiting")};
}

void configuration_parser::addPoolReferences(const std::vector<std::string> &pools, const source_position &where)
{
    for (const std::string &pool : pools) {
        m_poolReferences.push_back({pool, where});
    }
}

void configuration_parser::crossCheck()
{
    for (const pool_reference &reference : m_poolReferences) {
        if (!m_config.pools.contains(reference.pool)) {
            m_failures.push_back({failure_code::DanglingReference, reference.pool, reference.where, "the name of a pool"});
        }
    }
    for (const std::pair<const std::string, vm_config> &vm : m_config.vms) {
        m_vmsByPool[vm.second.pool].push_back(&vm.second);
    }
    checkBudgets();
    checkWaves();
}

// Number of VMs in the pool's largest failure domain at the level of its headroom, not counting `excludedVm`.
int configuration_parser::largestFailureDomain(std::string_view pool, std::string_view excludedVm) const
{
    const failure_headroom headroom = m_config.pools.find(pool)->second.headroom;
    const auto members = m_vmsByPool.find(pool);
    if (headroom == failure_headroom::None || members == m_vmsByPool.end()) {
        return 0;
    }
    std::map<std::string_view, int> domains;
    int largest = 0;
    for (const vm_config *vm : members->second) {
        if (vm->id != excludedVm) {
            const std::string_view domain = headroom == failure_headroom::Zone ? vm->availabilityZone : headroom == failure_headroom::Rack ? vm->rack : vm->id;
            largest = std::max(largest, ++domains[domain]);
        }
    }
    return largest;
}

void configuration_parser::checkBudgets()
{
    for (const std::pair<const std::string, pool_config> &pool : m_config.pools) {
        const auto members = m_vmsByPool.find(pool.first);
        const int count = members == m_vmsByPool.end() ? 0 : static_cast<int>(members->second.size());
        const int loss = largestFailureDomain(pool.first, "");
        if (count - loss < pool.second.minAvailable) {
            m_failures.push_back({failure_code::BudgetUnreachable,
                                  pool.first,
                                  m_poolPositions.find(pool.first)->second,
                                  "min_available of at most " + std::to_string(std::max(0, count - loss)) + " (" + std::to_string(count)
                                      + " VMs, of which the headroom covers " + std::to_string(loss) + ")"});
        }
    }
}

void configuration_parser::checkWaves()
{
    for (const std::pair<const std::string, wave_config> &wave : m_config.waves) {
        checkWave(wave.second, m_wavePositions.find(wave.first)->second);
    }
}

void configuration_parser::checkWave(const wave_config &wave, const source_position &where)
{
    const int days = wave.weekdays.empty() ? daysPerWeek : static_cast<int>(wave.weekdays.size());
    const int windows = wave.periodDays * days / daysPerWeek;
    const int rounds = windows * (wave.windowLengthMinutes / minutesPerVm);
    for (const std::string &name : wave.pools) {
        const auto pool = m_config.pools.find(name);
        const auto members = m_vmsByPool.find(name);
        if (pool == m_config.pools.end() || members == m_vmsByPool.end()) {
            continue;
        }
        const int count = static_cast<int>(members->second.size());
        int maxConcurrent = count;
        for (const vm_config *vm : members->second) {
            maxConcurrent = std::min(maxConcurrent, count - largestFailureDomain(name, vm->id) - pool->second.minAvailable);
        }
        const int concurrent = std::min(wave.parallel, maxConcurrent);
        if (concurrent <= 0) {
            m_failures.push_back({failure_code::WaveCannotFinish, wave.name, where, "a budget of pool " + name + " that lets every VM be drained"});
        } else if (rounds * concurrent < count) {
            m_failures.push_back(
                {failure_code::WaveCannotFinish,
                 wave.name,
                 where,
                 "time for " + std::to_string(count) + " VMs of pool " + name + "; the windows of one period hold " + std::to_string(rounds * concurrent)});
        }
    }
}

} // namespace

std::optional<configuration> parseConfiguration(std::span<const configuration_file> files, std::vector<failure> &failures)
{
    const std::size_t before = failures.size();
    configuration_parser parser(failures);
    for (const configuration_file &file : files) {
        parser.readFile(file);
    }
    parser.crossCheck();
    if (failures.size() != before) {
        return std::nullopt;
    }
    return parser.take();
}

std::optional<configuration> loadConfiguration(std::span<const file_reference> references, const file_source &files, failure &reason)
{
    std::vector<configuration_file> loaded;
    for (const file_reference &reference : references) {
        std::optional<std::string> body = files(reference.hash);
        if (!body) {
            reason = failure{failure_code::NotFound, reference.hash, {reference.name}, "the body of the configuration file"};
            return std::nullopt;
        }
        loaded.push_back({reference.name, std::move(*body)});
    }
    std::vector<failure> failures;
    std::optional<configuration> config = parseConfiguration(loaded, failures);
    if (!config) {
        reason = failures.front();
    }
    return config;
}

} // namespace daisypass
