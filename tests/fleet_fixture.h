#pragma once

// Small fleets for tests: a configuration with one or two pools, and a state with records applied to it.

#include "kernel/fleet_state.h"
#include "services/object_store.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

namespace daisypass {

/** Contents of configuration files by hash. */
struct file_bodies
{
    std::map<std::string, std::string, std::less<>> byHash;

    file_reference add(const std::string &name, const std::string &text)
    {
        const std::string hash = contentHash(text);
        byHash[hash] = text;
        return {name, hash};
    }

    file_source source() const
    {
        return [this](std::string_view hash) -> std::optional<std::string> {
            const auto found = byHash.find(hash);
            return found == byHash.end() ? std::nullopt : std::optional<std::string>(found->second);
        };
    }
};

inline std::string poolsText(int minAvailable, const std::string &headroom)
{
    return R"({"pools": [{"name": "a", "min_available": )" + std::to_string(minAvailable) + R"(, "headroom": ")" + headroom
        + R"("}, {"name": "b", "min_available": 0, "headroom": "none"}]})";
}

/** VMs vm-00, vm-01 and so on in pool "a"; two VMs per rack, four per zone. */
inline std::string vmsText(int count)
{
    std::string text;
    for (int index = 0; index < count; ++index) {
        const std::string number = std::to_string(index / 10) + std::to_string(index % 10);
        text += (index > 0 ? ",\n" : "") + std::string(R"({"id": "vm-)") + number + R"(", "pool": "a", "address": "127.0.0.1:)" + std::to_string(21001 + index)
            + R"(", "availability_zone": "z)" + std::to_string(index / 4) + R"(", "rack": "r)" + std::to_string(index / 2) + R"("})";
    }
    return "{\"vms\": [" + text + "]}";
}

inline std::string waveText(int parallel)
{
    return R"({"waves": [{"name": "monthly", "pools": ["a"], "period_days": 35, "parallel": )" + std::to_string(parallel) + "}]}";
}

inline entry_joined joined(const std::string &entry, incarnation_number incarnation)
{
    const std::uint16_t port = static_cast<std::uint16_t>(7000 + entry.back());
    return {entry, incarnation, {"127.0.0.1", port}, {"127.0.0.1", static_cast<std::uint16_t>(port + 100)}, "z0"};
}

/** A fleet state in which all VMs are serving. */
struct small_fleet
{
    file_bodies bodies;
    fleet_state state;
    std::vector<log_record> log;

    small_fleet(int vms, int minAvailable, const std::string &headroom)
    {
        mustApply({configuration_applied{0, {bodies.add("pools.json", poolsText(minAvailable, headroom)), bodies.add("vms.json", vmsText(vms))}, {}, "test"}});
        std::vector<fleet_change> returned;
        for (const std::pair<const std::string, vm_record> &vm : state.vms()) {
            returned.emplace_back(vm_returned{vm.first, vm.second.epoch});
        }
        mustApply(returned);
    }

    bool apply(std::vector<fleet_change> changes, failure &reason)
    {
        const log_record record{state.revision() + 1, "w" + std::to_string(state.revision() + 1), timestamp(state.revision() * 1'000'000), std::move(changes)};
        if (!state.apply(record, bodies.source(), reason)) {
            return false;
        }
        log.push_back(record);
        return true;
    }

    failure_code tryApply(std::vector<fleet_change> changes)
    {
        failure reason;
        return apply(std::move(changes), reason) ? failure_code::None : reason.code;
    }

    void mustApply(std::vector<fleet_change> changes)
    {
        failure reason;
        REQUIRE_MESSAGE(apply(std::move(changes), reason), describe(reason));
    }

    drain_begun drain(const std::string &vm, drain_cause cause = drain_cause::Maintenance, const std::string &detail = "monthly") const
    {
        return {vm, state.vms().find(vm)->second.epoch + 1, cause, detail};
    }
};

} // namespace daisypass
