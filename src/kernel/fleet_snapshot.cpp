#include "kernel/fleet_state.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace daisypass {
namespace {

constexpr std::array<std::string_view, 4> stateNames{"serving", "draining", "stopped", "failed"};
constexpr std::array<std::string_view, 3> causeNames{"maintenance", "move", "removal"};

} // namespace

std::string fleet_state::encode() const
{
    nlohmann::json files = nlohmann::json::object();
    for (const file_reference &file : m_files) {
        files[file.name] = file.hash;
    }
    nlohmann::json vms = nlohmann::json::array();
    for (const std::pair<const std::string, vm_record> &item : m_vms) {
        const vm_record &vm = item.second;
        nlohmann::json encoded{{"id", vm.id},
                               {"pool", vm.pool},
                               {"address", toString(vm.address)},
                               {"zone", vm.availabilityZone},
                               {"rack", vm.rack},
                               {"state", stateNames.at(static_cast<std::size_t>(vm.state))},
                               {"epoch", vm.epoch},
                               {"cause", causeNames.at(static_cast<std::size_t>(vm.cause))},
                               {"drain_revision", vm.drainRevision},
                               {"changed_at_us", vm.changedAt.count()},
                               {"maintained_at_us", vm.maintainedAt.count()}};
        if (vm.desiredPool != vm.pool) {
            encoded["desired_pool"] = vm.desiredPool;
        }
        if (!vm.detail.empty()) {
            encoded["detail"] = vm.detail;
        }
        vms.push_back(std::move(encoded));
    }
    nlohmann::json entries = nlohmann::json::array();
    for (const std::pair<const std::string, entry_record> &item : m_entries) {
        const entry_record &entry = item.second;
        entries.push_back({{"id", entry.id},
                           {"incarnation", entry.incarnation},
                           {"callers", toString(entry.callers)},
                           {"peers", toString(entry.peers)},
                           {"zone", entry.availabilityZone},
                           {"join_revision", entry.joinRevision}});
    }
    const nlohmann::json state{{"revision", m_revision},
                               {"configuration_revision", m_configurationRevision},
                               {"files", std::move(files)},
                               {"vms", std::move(vms)},
                               {"entries", std::move(entries)}};
    return state.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<fleet_state> fleet_state::decode(std::string_view text, const file_source &files, failure &reason)
{
    const nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
    const failure malformed{failure_code::SyntaxError, "snapshot", {}, "a fleet state"};
    reason = malformed;
    if (parsed.is_discarded() || !parsed.is_object()) {
        return std::nullopt;
    }
    const auto nameIndex = [](std::span<const std::string_view> names, const std::string &name) {
        return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
    };
    fleet_state state;
    // The JSON library reports missing members and wrong types by exceptions.
    try {
        state.m_revision = parsed.at("revision").get<revision_number>();
        state.m_configurationRevision = parsed.at("configuration_revision").get<revision_number>();
        for (auto file = parsed.at("files").begin(); file != parsed.at("files").end(); ++file) {
            state.m_files.push_back({file.key(), file->get<std::string>()});
        }
        for (const nlohmann::json &item : parsed.at("vms")) {
            vm_record vm;
            vm.id = item.at("id").get<std::string>();
            vm.pool = item.at("pool").get<std::string>();
            vm.desiredPool = item.value("desired_pool", vm.pool);
            vm.availabilityZone = item.at("zone").get<std::string>();
            vm.rack = item.at("rack").get<std::string>();
            vm.epoch = item.at("epoch").get<std::uint64_t>();
            vm.detail = item.value("detail", "");
            vm.drainRevision = item.at("drain_revision").get<revision_number>();
            vm.changedAt = timestamp(item.at("changed_at_us").get<std::int64_t>());
            vm.maintainedAt = timestamp(item.at("maintained_at_us").get<std::int64_t>());
            const std::size_t stateIndex = nameIndex(stateNames, item.at("state").get<std::string>());
            const std::size_t causeIndex = nameIndex(causeNames, item.at("cause").get<std::string>());
            const std::optional<endpoint> address = parseEndpoint(item.at("address").get<std::string>(), reason);
            if (stateIndex == stateNames.size() || causeIndex == causeNames.size() || !address) {
                return std::nullopt;
            }
            vm.state = static_cast<vm_state>(stateIndex);
            vm.cause = static_cast<drain_cause>(causeIndex);
            vm.address = *address;
            if (!state.m_vms.emplace(vm.id, vm).second) {
                return std::nullopt;
            }
            state.updateTally(vm, 1);
        }
        for (const nlohmann::json &item : parsed.at("entries")) {
            const std::optional<endpoint> callers = parseEndpoint(item.at("callers").get<std::string>(), reason);
            const std::optional<endpoint> peers = parseEndpoint(item.at("peers").get<std::string>(), reason);
            if (!callers || !peers) {
                return std::nullopt;
            }
            const std::string id = item.at("id").get<std::string>();
            state.m_entries[id] = entry_record{id,
                                               item.at("incarnation").get<incarnation_number>(),
                                               *callers,
                                               *peers,
                                               item.at("zone").get<std::string>(),
                                               item.at("join_revision").get<revision_number>()};
        }
    } catch (const nlohmann::json::exception &) {
        reason = malformed;
        return std::nullopt;
    }
    if (state.m_files.empty()) {
        return state;
    }
    std::optional<configuration> config = loadConfiguration(state.m_files, files, reason);
    if (!config) {
        return std::nullopt;
    }
    state.m_config = std::move(*config);
    return state;
}

} // namespace daisypass
