#pragma once

// Simulates one pool in virtual time: entries that run the real pool_scheduler, targets that refuse requests beyond their slots, and message
// latency. It models only the faults that scheduling_bench.cpp needs to compare slot policies.
//
//     pool_simulation simulation(options, requests);
//     simulation.run(std::chrono::seconds(30));
//     double busy = simulation.figures().busySeconds;

#include "kernel/pool_scheduler.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <string>
#include <vector>

namespace daisypass {

struct simulated_request
{
    timestamp arrival{};
    duration run{};
    duration deadline{};
    std::size_t entry = 0;
    /** Groups the requests in the figures; the scheduler does not see it. */
    int group = 0;
    std::string team;
    std::string requestClass;

    timestamp started{};
    int dispatches = 0;
    bool done = false;
    bool completed = false;
    attempt_outcome outcome = attempt_outcome::NotSent;
};

struct simulation_options
{
    std::size_t entries = 1;
    int targets = 10;
    std::string slotPolicy = "lend";
    pool_config config;
    std::vector<team_config> teams;
    /** One-way latencies of messages to a target and to another entry. */
    duration targetLatency = std::chrono::microseconds(1000);
    duration peerLatency = std::chrono::microseconds(1500);
    std::uint64_t seed = 1;
    /** `faultyEntry` is frozen, or cut off from all peers and the store, from `faultFrom` until `faultUntil`. */
    bool frozen = false;
    bool cutOff = false;
    timestamp faultFrom{};
    timestamp faultUntil{};
    std::size_t faultyEntry = 0;
    /** From this time target 0 fails every request after 1 ms. */
    timestamp failingFrom = duration::max();
    /** Only the time from `windowFrom` until `windowUntil` counts in the figures. */
    timestamp windowFrom{};
    timestamp windowUntil = duration::max();
};

struct simulation_figures
{
    double busySeconds = 0;
    double idleWhileWaitingSeconds = 0;
    std::uint64_t dispatches = 0;
    std::uint64_t targetRefusals = 0;
    std::uint64_t retries = 0;
    std::uint64_t borrowRequests = 0;
};

class pool_simulation
{
public:
    pool_simulation(const simulation_options &options, std::vector<simulated_request> requests);
    void run(timestamp until);

    const std::vector<simulated_request> &requests() const
    {
        return m_requests;
    }
    const simulation_figures &figures() const
    {
        return m_figures;
    }

private:
    struct event
    {
        timestamp at{};
        std::uint64_t order = 0;
        std::function<void()> callback;

        bool operator<(const event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct target
    {
        std::string vm;
        int running = 0;
    };

    void at(timestamp time, std::function<void()> callback)
    {
        m_events.push({std::max(time, m_now), m_order++, std::move(callback)});
    }
    bool inFault(timestamp time) const
    {
        return (m_options.frozen || m_options.cutOff) && time >= m_options.faultFrom && time < m_options.faultUntil;
    }
    bool frozen(std::size_t entry) const
    {
        return m_options.frozen && entry == m_options.faultyEntry && inFault(m_now);
    }
    void accumulateFigures(timestamp next);
    void scheduleNextArrival();
    void accept(std::size_t index);
    void handle(std::size_t entry, const scheduler_event &event);
    void sendToPeer(std::size_t from, const std::string &peer, const scheduler_event &event);
    void perform(std::size_t from, const dispatch &action);
    void perform(std::size_t from, const refuse &action);
    void perform(std::size_t from, const finish &action);
    void perform(std::size_t from, const borrow_slots &action);
    void perform(std::size_t from, const lend_slots &action);
    void perform(std::size_t from, const return_slots &action);
    void perform(std::size_t, const target_ejected &)
    {
    }
    void perform(std::size_t, const target_restored &)
    {
    }
    void deliverToTarget(std::size_t from, std::size_t request, std::size_t vm);
    void scheduleTicks(std::size_t entry);
    void gossip(std::size_t entry);
    void sendView(std::size_t entry, const std::vector<std::string> &live, bool isolated);
    void scheduleFault();
    std::string poolOwner(std::size_t entry) const;

    simulation_options m_options;
    std::vector<simulated_request> m_requests;
    std::vector<std::string> m_names;
    std::vector<pool_scheduler> m_schedulers;
    std::vector<std::vector<std::string>> m_live;
    std::vector<target> m_targets;
    std::priority_queue<event> m_events;
    simulation_figures m_figures;
    timestamp m_now{};
    std::uint64_t m_order = 0;
    std::size_t m_arrived = 0;
};

inline pool_simulation::pool_simulation(const simulation_options &options, std::vector<simulated_request> requests)
    : m_options(options)
    , m_requests(std::move(requests))
{
    for (int number = 0; number < options.targets; ++number) {
        m_targets.push_back({"vm-" + std::to_string(number), 0});
    }
    for (std::size_t entry = 0; entry < options.entries; ++entry) {
        m_names.push_back("entry-" + std::to_string(entry));
        m_schedulers.emplace_back(options.config, options.seed * 100 + entry, options.slotPolicy);
    }
    m_live.resize(options.entries, m_names);
    for (std::size_t entry = 0; entry < options.entries; ++entry) {
        sendView(entry, m_names, false);
        // The entries' timers are offset from each other, so that they don't tick at the same time.
        at(duration(entry * 1000), [this, entry] {
            scheduleTicks(entry);
        });
        at(duration(entry * 60'000), [this, entry] {
            gossip(entry);
        });
    }
    scheduleFault();
    scheduleNextArrival();
}

inline void pool_simulation::run(timestamp until)
{
    while (!m_events.empty() && m_events.top().at <= until) {
        const event next = m_events.top();
        m_events.pop();
        accumulateFigures(next.at);
        m_now = next.at;
        next.callback();
    }
}

inline void pool_simulation::accumulateFigures(timestamp next)
{
    const timestamp from = std::max(m_now, m_options.windowFrom);
    const timestamp until = std::min(next, m_options.windowUntil);
    if (until <= from) {
        return;
    }
    const double seconds = std::chrono::duration<double>(until - from).count();
    int busy = 0;
    int queued = 0;
    for (const target &each : m_targets) {
        busy += each.running;
    }
    for (const pool_scheduler &each : m_schedulers) {
        queued += each.queued();
    }
    const int idle = m_options.config.slotsPerTarget * static_cast<int>(m_targets.size()) - busy;
    m_figures.busySeconds += busy * seconds;
    m_figures.idleWhileWaitingSeconds += std::min(idle, queued) * seconds;
}

inline void pool_simulation::scheduleNextArrival()
{
    if (m_arrived >= m_requests.size()) {
        return;
    }
    const std::size_t index = m_arrived++;
    at(m_requests[index].arrival, [this, index] {
        accept(index);
        scheduleNextArrival();
    });
}

inline std::string pool_simulation::poolOwner(std::size_t entry) const
{
    return std::string(rendezvousOwner(m_live[entry], "pool"));
}

inline void pool_simulation::accept(std::size_t index)
{
    simulated_request &request = m_requests[index];
    // The load balancer stops using an entry that has not been ready for 1 s.
    constexpr duration balancerLag = std::chrono::seconds(1);
    const duration notReadyAfter = m_options.frozen ? balancerLag : std::chrono::seconds(3) + balancerLag;
    if (request.entry == m_options.faultyEntry && inFault(m_now) && m_now >= m_options.faultFrom + notReadyAfter) {
        request.entry = (request.entry + 1 + index % (m_names.size() - 1)) % m_names.size();
    }
    request_info info;
    info.number = index + 1;
    info.team = request.team;
    info.requestClass = request.requestClass;
    info.arrived = m_now;
    info.deadline = m_now + request.deadline;
    if (m_options.slotPolicy != "pool-owner" || poolOwner(request.entry) == m_names[request.entry]) {
        handle(request.entry, request_arrived{info});
        return;
    }
    if (m_options.cutOff && inFault(m_now) && (request.entry == m_options.faultyEntry || poolOwner(request.entry) == m_names[m_options.faultyEntry])) {
        request.done = true;
        return;
    }
    sendToPeer(request.entry, poolOwner(request.entry), request_arrived{info});
}

inline void pool_simulation::handle(std::size_t entry, const scheduler_event &event)
{
    if (frozen(entry)) {
        at(m_options.faultUntil + std::chrono::milliseconds(1), [this, entry, copy = event] {
            handle(entry, copy);
        });
        return;
    }
    std::vector<scheduler_action> actions;
    m_schedulers[entry].handle(event, m_now, actions);
    for (const scheduler_action &action : actions) {
        std::visit(
            [&](const auto &typed) {
                perform(entry, typed);
            },
            action);
    }
}

inline void pool_simulation::sendToPeer(std::size_t from, const std::string &peer, const scheduler_event &event)
{
    const std::size_t to = static_cast<std::size_t>(std::find(m_names.begin(), m_names.end(), peer) - m_names.begin());
    const bool cut = m_options.cutOff && inFault(m_now) && (from == m_options.faultyEntry || to == m_options.faultyEntry);
    if (!cut) {
        at(m_now + m_options.peerLatency, [this, to, event] {
            handle(to, event);
        });
    }
}

inline void pool_simulation::perform(std::size_t from, const dispatch &action)
{
    simulated_request &request = m_requests[action.request - 1];
    ++request.dispatches;
    if (m_now >= m_options.windowFrom && m_now < m_options.windowUntil) {
        ++m_figures.dispatches;
        m_figures.retries += request.dispatches > 1 ? 1 : 0;
    }
    std::size_t vm = 0;
    while (m_targets[vm].vm != action.vm) {
        ++vm;
    }
    at(m_now + m_options.targetLatency, [this, from, number = action.request, vm] {
        deliverToTarget(from, number - 1, vm);
    });
}

inline void pool_simulation::deliverToTarget(std::size_t from, std::size_t index, std::size_t vm)
{
    simulated_request &request = m_requests[index];
    attempt_outcome outcome = attempt_outcome::Completed;
    duration run = request.run;
    if (m_targets[vm].running >= m_options.config.slotsPerTarget) {
        outcome = attempt_outcome::Refused;
        run = duration{};
        m_figures.targetRefusals += m_now >= m_options.windowFrom && m_now < m_options.windowUntil ? 1 : 0;
    } else {
        ++m_targets[vm].running;
        request.started = m_now;
        if (vm == 0 && m_now >= m_options.failingFrom) {
            outcome = attempt_outcome::Failed;
            run = std::chrono::milliseconds(1);
        }
        at(m_now + run, [this, vm] {
            --m_targets[vm].running;
        });
    }
    at(m_now + run + m_options.targetLatency, [this, from, index, outcome, run] {
        handle(from, target_answered{index + 1, outcome, run});
    });
}

inline void pool_simulation::perform(std::size_t, const refuse &action)
{
    m_requests[action.request - 1].done = true;
}

inline void pool_simulation::perform(std::size_t, const finish &action)
{
    simulated_request &request = m_requests[action.request - 1];
    request.done = true;
    request.outcome = action.outcome;
    request.completed = action.outcome == attempt_outcome::Completed;
}

inline void pool_simulation::perform(std::size_t from, const borrow_slots &action)
{
    m_figures.borrowRequests += m_now >= m_options.windowFrom && m_now < m_options.windowUntil ? 1 : 0;
    sendToPeer(from, action.peer, slots_requested{m_names[from], action.count});
}

inline void pool_simulation::perform(std::size_t from, const lend_slots &action)
{
    sendToPeer(from, action.peer, slots_granted{m_names[from], action.grants});
}

inline void pool_simulation::perform(std::size_t from, const return_slots &action)
{
    sendToPeer(from, action.peer, slots_returned{m_names[from], action.grants});
}

inline void pool_simulation::scheduleTicks(std::size_t entry)
{
    if (!frozen(entry)) {
        handle(entry, tick{});
    }
    at(m_now + std::chrono::milliseconds(10), [this, entry] {
        scheduleTicks(entry);
    });
}

inline void pool_simulation::gossip(std::size_t entry)
{
    for (const std::string &peer : m_names) {
        if (peer != m_names[entry] && !frozen(entry)) {
            sendToPeer(
                entry, peer, peer_load{m_names[entry], m_schedulers[entry].queued(), m_schedulers[entry].freeSlots(), m_schedulers[entry].reportedLoad()});
        }
    }
    at(m_now + std::chrono::milliseconds(500), [this, entry] {
        gossip(entry);
    });
}

inline void pool_simulation::sendView(std::size_t entry, const std::vector<std::string> &live, bool isolated)
{
    m_live[entry] = live;
    view_changed view;
    view.self = m_names[entry];
    view.config = m_options.config;
    view.teams = m_options.teams;
    view.isolated = isolated;
    view.entries = live;
    for (const target &each : m_targets) {
        view.targets.push_back({each.vm, std::string(rendezvousOwner(live, each.vm)), {}, {}});
    }
    handle(entry, view);
}

// The membership rules of section 3.7 of the design: an entry is suspected after 2 s, isolated after 3 s, and live again with its next gossip message.
inline void pool_simulation::scheduleFault()
{
    if (!m_options.frozen && !m_options.cutOff) {
        return;
    }
    const std::size_t faulty = m_options.faultyEntry;
    std::vector<std::string> others = m_names;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(faulty));
    for (std::size_t entry = 0; entry < m_names.size(); ++entry) {
        if (entry != faulty) {
            at(m_options.faultFrom + std::chrono::seconds(2), [this, entry, others] {
                sendView(entry, others, false);
            });
            at(m_options.faultUntil + std::chrono::milliseconds(250), [this, entry] {
                sendView(entry, m_names, false);
            });
        }
    }
    if (m_options.cutOff) {
        at(m_options.faultFrom + std::chrono::seconds(2), [this, faulty] {
            sendView(faulty, {m_names[faulty]}, false);
        });
        at(m_options.faultFrom + std::chrono::seconds(3), [this, faulty] {
            sendView(faulty, {m_names[faulty]}, true);
        });
    } else {
        at(m_options.faultUntil, [this, faulty] {
            sendView(faulty, m_names, true);
        });
    }
    at(m_options.faultUntil + std::chrono::milliseconds(250), [this, faulty] {
        sendView(faulty, m_names, false);
    });
}

} // namespace daisypass
