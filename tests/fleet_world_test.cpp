#include "fleet_world.h"

#include "base/text_difference.h"
#include "configuration_fixture.h"

#include <cstdlib>
#include <iostream>

namespace daisypass {

fleet_world::fleet_world(int vms, int minAvailable, const std::string &headroom, int parallel, int entryCount)
    : log(table_service(table), object_store(memory_objects()))
{
    configuration_applied first{0, {}, {}, "operator"};
    for (const configuration_file &file : {configuration_file{"pools.json", poolsText(minAvailable, headroom)},
                                           configuration_file{"vms.json", vmsText(vms)},
                                           configuration_file{"waves.json", waveText(parallel)}}) {
        failure reason;
        first.changed.push_back({file.name, *log.putFile(file.text, reason)});
    }
    append("operator", {1, nextWriteId(), now, {first}}, {});
    for (int index = 1; index <= entryCount; ++index) {
        const std::string name = "entry-" + std::to_string(index);
        entries[name].incarnation = 100 + static_cast<incarnation_number>(index);
        failure reason;
        const log_head head = *log.readHead(reason);
        append(name, {head.revision + 1, nextWriteId(), now, {joined(name, entries[name].incarnation)}}, head);
    }
    for (const std::pair<const std::string, vm_record> &vm : state().vms()) {
        targets[vm.first] = {};
        platform[vm.first] = platform_vm_state::Live;
    }
}

void fleet_world::addController(const std::string &name)
{
    controllers[name] = std::make_unique<simulated_controller>(fleet_controller_options{});
    note(name + " starts");
}

void fleet_world::run(int seconds)
{
    for (int second = 0; second < seconds; ++second) {
        step();
    }
}

void fleet_world::advanceClock(duration time)
{
    now += time;
    note("time passes");
}

void fleet_world::note(const std::string &text)
{
    transcript += "+" + std::to_string((now - begin) / std::chrono::seconds(1)) + "s " + text + '\n';
}

std::string fleet_world::nextWriteId()
{
    return "w" + std::to_string(++m_writes);
}

commit_outcome fleet_world::append(const std::string &who, const log_record &record, const log_head &head)
{
    failure reason;
    const commit_outcome outcome = log.append(record, head, reason);
    if (outcome != commit_outcome::Committed) {
        note(who + " append of revision " + std::to_string(record.revision) + ": " + std::string(codeName(reason.code)));
        return outcome;
    }
    for (const fleet_change &change : record.changes) {
        note(who + " r" + std::to_string(record.revision) + ' ' + describeChange(change));
    }
    return outcome;
}

failure_code fleet_world::apply(const std::string &who, revision_number base, const std::string &name, const std::string &text)
{
    failure reason;
    const log_head head = *log.readHead(reason);
    const log_record record{head.revision + 1, nextWriteId(), now, {configuration_applied{base, {{name, *log.putFile(text, reason)}}, {}, who}}};
    fleet_state copy = state();
    if (!copy.apply(record, log.files(), reason)) {
        note(who + " refused: " + describe(reason));
        return reason.code;
    }
    append(who, record, head);
    return failure_code::None;
}

const fleet_state &fleet_world::state()
{
    replay(m_latestState);
    return m_latestState;
}

int fleet_world::countVms(vm_state inState)
{
    int found = 0;
    for (const std::pair<const std::string, vm_record> &vm : state().vms()) {
        found += vm.second.state == inState ? 1 : 0;
    }
    return found;
}

void fleet_world::replay(fleet_state &state)
{
    failure reason;
    const std::optional<std::vector<log_record>> records = log.readAfter(state.revision(), 1'000, reason);
    if (!records) {
        return;
    }
    for (const log_record &record : *records) {
        REQUIRE_MESSAGE(state.apply(record, log.files(), reason), describe(reason));
    }
}

void fleet_world::step()
{
    now += std::chrono::seconds(1);
    checkOutages();
    for (std::pair<const std::string, simulated_entry> &entry : entries) {
        if (!entry.second.partitioned) {
            replay(entry.second.state);
        }
    }
    for (const std::pair<const std::string, std::unique_ptr<simulated_controller>> &controller : controllers) {
        if (!controller.second->paused) {
            stepController(controller.first, *controller.second);
        }
    }
}

void fleet_world::checkOutages()
{
    for (const std::pair<const std::string, simulated_target> &target : targets) {
        if (target.second.downFrom == now) {
            const auto vm = state().vms().find(target.first);
            CHECK_MESSAGE((vm == state().vms().end() || vm->second.state != vm_state::Serving), "a reboot took down " << target.first << " while it served");
        }
    }
}

void fleet_world::stepController(const std::string &name, simulated_controller &controller)
{
    if (controller.delayedAppend) {
        append(name, controller.delayedAppend->first, controller.delayedAppend->second);
        controller.delayedAppend.reset();
        return;
    }
    replay(controller.state);
    controller.board.prune(controller.state);
    for (const std::pair<const std::string, entry_record> &known : controller.state.entries()) {
        const simulated_entry &entry = entries[known.first];
        if (!entry.partitioned) {
            gossip_message answer;
            answer.incarnation = entry.incarnation;
            answer.revision = entry.state.revision();
            answer.loadsVersion = 1;
            answer.pools = {{"a", 0, 0, 0, {entry.unreachable.begin(), entry.unreachable.end()}}};
            controller.board.entryAnswered(known.first, answer, now);
        }
    }
    controller.board.setPlatformVms(platform);
    failure reason;
    const std::optional<log_head> head = log.readHead(reason);
    const controller_decision decision = controller.decisions.decide(controller.state, controller.board.input(now, head.has_value()));
    for (const controller_command &command : decision.commands) {
        carryOut(name, controller, command);
    }
    if (decision.changes.empty()) {
        return;
    }
    const log_record record{head->revision + 1, nextWriteId(), now, decision.changes};
    fleet_state copy = controller.state;
    REQUIRE_MESSAGE(copy.apply(record, log.files(), reason), describe(reason));
    if (controller.paused) {
        controller.delayedAppend = {record, *head};
        return;
    }
    append(name, record, *head);
}

void fleet_world::carryOut(const std::string &name, simulated_controller &controller, const controller_command &command)
{
    if (const request_confirmations *request = std::get_if<request_confirmations>(&command)) {
        for (const drain_confirmation &required : controller.state.requiredConfirmations(request->vm)) {
            const simulated_entry &entry = entries[required.entry];
            const auto vm = entry.state.vms().find(request->vm);
            const bool drained = vm != entry.state.vms().end() && vm->second.state == vm_state::Draining && vm->second.epoch == request->epoch;
            const auto running = entry.inFlight.find(request->vm);
            if (!entry.partitioned && drained && (running == entry.inFlight.end() || running->second == 0)) {
                controller.board.drainAnswered({request->vm, request->epoch, 0}, {required.entry, entry.incarnation, true, 0, entry.state.revision()}, now);
            }
        }
    } else if (const probe_target *probe = std::get_if<probe_target>(&command)) {
        const simulated_target &target = targets[probe->vm];
        if (target.down || (now >= target.downFrom && now < target.downUntil)) {
            controller.board.targetFailed(probe->vm, now);
        } else {
            controller.board.targetAnswered(probe->vm, target.inFlight, now);
        }
    } else if (const reboot_vm *reboot = std::get_if<reboot_vm>(&command)) {
        controller.board.rebootAccepted(reboot->operation, now);
        if (reboots.insert(reboot->operation).second) {
            note(name + " reboots " + reboot->vm + " as " + reboot->operation);
            CHECK_MESSAGE(targets[reboot->vm].inFlight == 0, "a reboot cut off a request on " << reboot->vm);
            targets[reboot->vm].downFrom = now + rebootDelay;
            targets[reboot->vm].downUntil = now + rebootDelay + rebootTime;
        }
    }
}

void checkGolden(const std::string &name, const std::string &transcript)
{
    const std::string path = std::string(DAISYPASS_SOURCE_DIR) + "/tests/golden/" + name + ".txt";
    const std::string expected = readText(path);
    const std::string difference = describeDifference(name + ".txt", expected, transcript, 100);
    if (std::getenv("DAISYPASS_RENEW_GOLDEN") != nullptr) {
        std::cout << difference;
        std::ofstream(path, std::ios::binary | std::ios::trunc) << transcript;
        return;
    }
    CHECK_MESSAGE(difference.empty(), "golden file differs (renew with DAISYPASS_RENEW_GOLDEN=1):\n" << difference);
}

} // namespace daisypass
