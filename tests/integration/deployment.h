#pragma once

// A small deployment of real processes on loopback: fake platform, fake targets, entries and controllers, with a fault proxy between
// each entry and the platform, between entries, and (on demand) between entries and targets.
//
//     deployment fleet({.entries = 3, .controllers = 1});
//     fleet.applyConfiguration();
//     answer result = fleet.post(0, "booking", {.body = "token#1"});

#include "http/http_client.h"
#include "integration/child_process.h"
#include "standins/fault_proxy.h"
#include "standins/load_run.h"

#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace daisypass::integration {

struct deployment_options
{
    int entries = 2;
    int controllers = 1;
    /** Targets of the pool `booking` (claims) and of the pool `grinder` (tickets). */
    int bookingTargets = 3;
    int grinderTargets = 3;
    /** Applies the configuration and waits until its targets serve. */
    bool apply = true;
    /** A controller that is not there holds the control lease at the start, so the targets join seconds after the configuration is in force. */
    bool leaseHeldElsewhere = false;
};

struct request_options
{
    std::string key = {};
    bool repeatable = false;
    int runMs = 5;
    int deadlineMs = 10'000;
    std::string requestClass = "short";
    bool async = false;
};

/** "completed", or another outcome with its reason and detail, so that a failing check prints what the caller was told. */
std::string describe(const submission_report &report);

struct running_entry
{
    std::string name;
    std::unique_ptr<fault_proxy> platform;
    std::unique_ptr<fault_proxy> peers;
    std::unique_ptr<child_process> process;
    endpoint callers;
};

struct running_controller
{
    std::unique_ptr<fault_proxy> platform;
    std::unique_ptr<child_process> process;
    endpoint admin;
};

class deployment
{
public:
    explicit deployment(deployment_options options);
    ~deployment();

    const std::string &directory() const
    {
        return m_directory;
    }
    endpoint platform() const
    {
        return m_platform;
    }
    running_entry &entry(std::size_t index)
    {
        return m_entries[index];
    }
    running_controller &controller(std::size_t index)
    {
        return m_controllers[index];
    }
    /** Addresses as in the configuration: of the proxy before each target. */
    fault_proxy &targetProxy(std::size_t index)
    {
        return *m_targetProxies[index];
    }
    std::string vmOf(std::size_t target) const;

    /** Adds an entry and waits until it is ready. */
    std::size_t addEntry();
    std::size_t addController();
    bool entryReady(std::size_t index);
    /** Waits until all VMs serve and every entry knows it; a configuration is in force before that. */
    bool waitUntilServing();

    /** Writes the configuration into the directory of that name, without some targets and with some in the other pool; returns its path. */
    std::string writeConfiguration(const std::string &name, const std::vector<std::size_t> &withoutTargets = {}, const std::vector<std::size_t> &moved = {});
    /** Exit status of `daisypassctl apply`. */
    int apply(const std::string &configurationDirectory, std::size_t controller = 0, int waitMs = 11'000);
    nlohmann::json status(std::size_t controller = 0);

    /** Sends a request and returns what the caller was told; the report is kept for check(). */
    submission_report post(std::size_t entry, const std::string &pool, const request_options &options = {}, const std::string &token = {});
    std::future<submission_report> postLater(std::size_t entry, const std::string &pool, const request_options &options = {}, const std::string &token = {});
    /** A token that no other request of this deployment has. */
    std::string newToken();
    std::string ticket(std::size_t entry);

    http_result call(const endpoint &place, const std::string &method, const std::string &path, const std::string &body = {});
    void platformFaults(const nlohmann::json &faults);
    void targetBehaviour(std::size_t target, const nlohmann::json &behaviour);
    std::vector<execution_record> executions();
    int executionsOf(const std::string &token);
    bool runsOn(std::size_t target, const std::string &token);
    nlohmann::json targetStats(std::size_t target);
    /** Waits until at least this many requests run on all targets together. The slots of a new VM ramp up over 10 s from one. */
    bool waitForInFlight(int least);
    bool waitUntilIdle();

    /** Descriptions of all disagreements between the reports and the targets' records; empty if there are none. */
    std::string check();

private:
    int inFlight();
    void startPlatform();
    void startTargets();
    void takeLeaseElsewhere();
    bool serving();
    http_call buildCall(std::size_t entry, const std::string &pool, const request_options &options, submission_report &report);
    std::string path(const std::string &name) const;

    deployment_options m_options;
    std::string m_directory;
    std::unique_ptr<child_process> m_platformProcess;
    endpoint m_platform;
    std::unique_ptr<child_process> m_targetProcess;
    std::vector<endpoint> m_targets;
    std::vector<std::unique_ptr<fault_proxy>> m_targetProxies;
    std::vector<running_entry> m_entries;
    std::vector<running_controller> m_controllers;
    std::mutex m_lock;
    std::vector<submission_report> m_reports;
    int m_lastToken = 0;
    // Last, so that it ends first: its calls refer to the members above.
    http_client m_client;
};

} // namespace daisypass::integration
