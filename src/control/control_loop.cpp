#include "control/control_loop.h"

#include "base/log.h"
#include "control/control_lease.h"
#include "services/write_id.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <limits>
#include <mutex>
#include <thread>

namespace daisypass {
namespace {

constexpr duration maxStoreContactAge = std::chrono::seconds(3);
constexpr duration refreshTimeout = std::chrono::seconds(2);
constexpr duration maxCommandAge = std::chrono::seconds(2);
constexpr std::chrono::milliseconds probeTimeout{1'000};
// Upper limit of the old log rows that one step deletes; below the table service's limit of 300 writes/s.
constexpr int maxTrimmedRows = 200;
// Steps between two checks whether a snapshot is due; a check costs one read.
constexpr int stepsPerSnapshotCheck = 30;

struct command_runner
{
    const fleet_state &state;
    observation_board &board;
    peer_client &peers;
    http_client &http;
    vm_list &vms;
    const steady_wall_clock &clock;
    timestamp decidedAt;

    void operator()(const request_confirmations &command) const
    {
        const drain_question question{command.vm, command.epoch, state.revision()};
        for (const drain_confirmation &confirmation : state.requiredConfirmations(command.vm)) {
            const entry_record &entry = state.entries().find(confirmation.entry)->second;
            observation_board &observations = board;
            const steady_wall_clock &wallClock = clock;
            peers.confirmDrain(
                {entry.peers, entry.incarnation}, question, [question, &observations, &wallClock](std::optional<drain_answer> answer, const failure &) {
                    if (answer) {
                        observations.drainAnswered(question, *answer, wallClock.now());
                    }
                });
        }
    }

    void operator()(const probe_target &command) const
    {
        http_call call;
        call.url = "http://" + toString(command.address) + "/status";
        call.connectTimeout = probeTimeout;
        call.totalTimeout = probeTimeout;
        // The response describes the target at some time after the probe was sent, so the time of sending is the safe one to compare with.
        const timestamp sentAt = clock.now();
        observation_board &observations = board;
        http.send(std::move(call), [vm = command.vm, sentAt, &observations](const http_result &result) {
            const nlohmann::json body = nlohmann::json::parse(result.response.body, nullptr, false);
            const bool valid = result.state == send_state::Answered && result.response.status == 200 && body.is_object() && body.contains("in_flight")
                && body["in_flight"].is_number_integer();
            if (valid) {
                observations.targetAnswered(vm, body["in_flight"].get<int>(), sentAt);
            } else {
                observations.targetFailed(vm, sentAt);
            }
        });
    }

    void operator()(const reboot_vm &command) const
    {
        // The reboot is dropped if the process was paused since the decision; the next step decides again on the newest state.
        if (clock.now() - decidedAt > maxCommandAge) {
            return;
        }
        failure reason;
        if (vms.reboot(command.vm, command.operation, reason)) {
            board.rebootAccepted(command.operation, clock.now());
            logEvent("reboot_accepted", {{"vm", command.vm}, {"operation", command.operation}});
        }
    }
};

} // namespace

steady_wall_clock::steady_wall_clock()
    : m_wallAtStart(wallNow())
    , m_steadyAtStart(steadyNow())
{
}

timestamp steady_wall_clock::now() const
{
    return m_wallAtStart + (steadyNow() - m_steadyAtStart);
}

struct control_loop::implementation
{
    implementation(control_loop_options chosen, fleet_follower &followed, fleet_log fleetLog, table_service table, vm_list list, metrics_registry &registry)
        : options(std::move(chosen))
        , follower(followed)
        , log(std::move(fleetLog))
        , vms(std::move(list))
        , metrics(registry)
        , controller(options.controllerOptions)
        , lease(std::move(table), options.controller)
    {
    }

    control_loop_options options;
    fleet_follower &follower;
    fleet_log log;
    vm_list vms;
    metrics_registry &metrics;
    fleet_controller controller;
    control_lease lease;
    steady_wall_clock clock;
    std::atomic<timestamp::rep> lastStatusRequest{std::numeric_limits<timestamp::rep>::min() / 2};
    int idleSteps = 0;
    observation_board board;
    // Declared after the board, because their destructors wait for callbacks that use it.
    http_client http{http_client_options{}};
    peer_client peers{peer_client_options{}};
    bool holdsLease = false;
    int steps = 0;
    timestamp nextVmListRead{};
    bool stopping = false;
    mutable std::mutex lock;
    std::condition_variable wake;
    std::thread thread;

    void run()
    {
        std::unique_lock<std::mutex> guard(lock);
        while (!stopping) {
            guard.unlock();
            const timestamp startedAt = steadyNow();
            step();
            metrics.findHistogram("daisypass_control_step_seconds").record(std::chrono::duration<double>(steadyNow() - startedAt).count());
            guard.lock();
            wake.wait_for(guard, options.stepInterval, [this] {
                return stopping;
            });
        }
    }

    bool storeReachable() const
    {
        const std::optional<timestamp> contact = follower.lastStoreContact();
        return contact && steadyNow() - *contact <= maxStoreContactAge;
    }

    void step()
    {
        failure reason;
        follower.refresh(refreshTimeout, reason);
        const std::shared_ptr<const fleet_state> state = follower.state();
        board.prune(*state);
        const bool store = storeReachable();
        const bool isHolder = store && lease.acquireOrRenew(clock.now(), newWriteId());
        if (shouldGossip(isHolder)) {
            gossip(*state);
        }
        if (isHolder != holdsLease) {
            // A new holder of the lease reads the VM list before it decides.
            nextVmListRead = timestamp{};
            logEvent(isHolder ? "lease_taken" : "lease_lost", {{"revision", state->revision()}});
        }
        {
            const std::lock_guard<std::mutex> guard(lock);
            holdsLease = isHolder;
        }
        metrics.findGauge("daisypass_control_lease_held").set(isHolder ? 1 : 0);
        metrics.findGauge("daisypass_control_revision").set(static_cast<double>(state->revision()));
        metrics.findGauge("daisypass_control_store_answers").set(store ? 1 : 0);
        if (isHolder) {
            readVmList();
            decide(*state);
            snapshotOrTrim(*state);
        }
    }

    // Controllers without the lease gossip only in some steps, unless an operator requested the status recently.
    // With 8 controllers this saves most of the calls that each entry would have to answer.
    bool shouldGossip(bool isHolder)
    {
        constexpr int stepsBetweenIdleGossip = 10;
        constexpr duration statusInterestTime = std::chrono::seconds(15);
        const bool statusRequested = steadyNow() - timestamp(lastStatusRequest.load()) <= statusInterestTime;
        return isHolder || statusRequested || idleSteps++ % stepsBetweenIdleGossip == 0;
    }

    void gossip(const fleet_state &state)
    {
        for (const std::pair<const std::string, entry_record> &entry : state.entries()) {
            gossip_message message;
            message.revision = state.revision();
            message.storeReachable = storeReachable();
            message.knownVersion = board.knownLoadsVersion(entry.first);
            const timestamp sentAt = clock.now();
            peers.gossip({entry.second.peers, entry.second.incarnation},
                         message,
                         [this, name = entry.first, sentAt](std::optional<gossip_message> answer, const failure &) {
                             if (answer) {
                                 board.entryAnswered(name, *answer, sentAt);
                             }
                         });
        }
    }

    void readVmList()
    {
        if (steadyNow() < nextVmListRead) {
            return;
        }
        failure reason;
        const std::optional<std::vector<listed_vm>> listed = vms.list(reason);
        nextVmListRead = listed ? steadyNow() + options.vmListInterval : timestamp{};
        if (!listed) {
            board.setPlatformVms(std::nullopt);
            return;
        }
        std::map<std::string, platform_vm_state, std::less<>> states;
        for (const listed_vm &vm : *listed) {
            states[vm.id] = vm.state == listed_state::Live ? platform_vm_state::Live
                : vm.state == listed_state::Leaving        ? platform_vm_state::Leaving
                                                           : platform_vm_state::Gone;
        }
        board.setPlatformVms(std::move(states));
    }

    void decide(const fleet_state &state)
    {
        failure reason;
        const std::optional<log_head> head = log.readHead(reason);
        // Decisions are made on the newest state only. A follower that is behind the head catches up before the next step.
        if (!head || head->revision != state.revision()) {
            return;
        }
        const timestamp decidedAt = clock.now();
        const controller_decision decision = controller.decide(state, board.input(decidedAt, true));
        const command_runner runner{state, board, peers, http, vms, clock, decidedAt};
        for (const controller_command &command : decision.commands) {
            std::visit(runner, command);
        }
        if (!decision.changes.empty()) {
            append(state, *head, decision.changes);
        }
    }

    void append(const fleet_state &state, const log_head &head, const std::vector<fleet_change> &changes)
    {
        const log_record record{head.revision + 1, newWriteId(), clock.now(), changes};
        failure reason;
        fleet_state copy = state;
        if (!copy.apply(record, log.files(), reason)) {
            metrics.findCounter("daisypass_control_rejected_decisions_total", {{"code", std::string(codeName(reason.code))}}).add();
            logEvent("decision_rejected", {{"reason", describe(reason)}});
            return;
        }
        const commit_outcome outcome = log.append(record, head, reason);
        metrics
            .findCounter("daisypass_control_appends_total",
                         {{"outcome", outcome == commit_outcome::Committed ? "committed" : std::string(codeName(reason.code))}})
            .add();
        if (outcome != commit_outcome::Committed) {
            return;
        }
        for (const fleet_change &change : changes) {
            metrics.findCounter("daisypass_control_changes_total", {{"change", std::string(changeName(change))}}).add();
            logEvent(changeName(change), {{"revision", record.revision}, {"change", describeChange(change)}});
        }
        follower.pollNow();
    }

    void snapshotOrTrim(const fleet_state &state)
    {
        if (++steps % stepsPerSnapshotCheck != 0) {
            return;
        }
        failure reason;
        const std::optional<revision_number> latestSnapshot = log.snapshotRevision(reason);
        if (latestSnapshot && state.revision() >= *latestSnapshot + fleet_log::snapshotInterval && log.writeSnapshot(state, maxTrimmedRows, reason)) {
            logEvent("snapshot_written", {{"revision", state.revision()}});
        } else if (latestSnapshot && *latestSnapshot > fleet_log::keptRecords) {
            log.trim(*latestSnapshot, maxTrimmedRows, reason);
        }
    }
};

control_loop::control_loop(control_loop_options options, fleet_follower &follower, fleet_log log, table_service table, vm_list vms, metrics_registry &metrics)
    : m_implementation(std::make_unique<implementation>(std::move(options), follower, std::move(log), std::move(table), std::move(vms), metrics))
{
}

control_loop::~control_loop()
{
    stop();
}

void control_loop::onStatusRequested() const
{
    m_implementation->lastStatusRequest = steadyNow().count();
}

void control_loop::setBalancer(fleet_controller::balancer policy)
{
    m_implementation->controller.setBalancer(std::move(policy));
}

void control_loop::start()
{
    m_implementation->thread = std::thread([this] {
        m_implementation->run();
    });
}

void control_loop::stop()
{
    {
        const std::lock_guard<std::mutex> guard(m_implementation->lock);
        m_implementation->stopping = true;
    }
    m_implementation->wake.notify_all();
    if (m_implementation->thread.joinable()) {
        m_implementation->thread.join();
    }
}

control_status control_loop::status() const
{
    control_status status;
    status.state = m_implementation->follower.state();
    status.input = m_implementation->board.input(m_implementation->clock.now(), m_implementation->storeReachable());
    {
        const std::lock_guard<std::mutex> guard(m_implementation->lock);
        status.holdsLease = m_implementation->holdsLease;
    }
    // Controllers without the lease do not read the platform's VM list or probe targets, so they cannot tell what blocks planning.
    status.planningBlockedBy
        = status.holdsLease ? m_implementation->controller.planningBlockedBy(*status.state, status.input) : "another controller holds the lease; ask it";
    return status;
}

std::string control_loop::waitsFor(const control_status &status, std::string_view vm) const
{
    return m_implementation->controller.waitsFor(*status.state, status.input, vm);
}

} // namespace daisypass
