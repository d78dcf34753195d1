#pragma once

// A small deployment of real processes on loopback: fake platform, fake targets, entries and controllers. Fault proxies stand between
// the platform and each entry and controller, before each entry's peer port, and before each target.
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
    /** Number of targets in the pool `booking`, which uses claims, and in the pool `grinder`, which uses tickets. */
    int bookingTargets = 3;
    int grinderTargets = 3;
    /** Whether the constructor applies the configuration and waits until its targets serve. */
    bool apply = true;
    /** Whether a controller that does not run holds the control lease at first. The targets then join seconds after the configuration is in force. */
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

/** Returns "completed", or another outcome with its reason and detail, so that a failing check prints what the caller received. */
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
    /** The fault proxy before a target; the configuration holds the proxy's address. */
    fault_proxy &targetProxy(std::size_t index)
    {
        return *m_targetProxies[index];
    }
    std::string vmOf(std::size_t target) const;

    /** Adds an entry and waits until it is ready. */
    std::size_t addEntry();
    std::size_t addController();
    bool entryReady(std::size_t index);
    /** Waits until all VMs serve and every entry has applied that revision, which is later than the one that puts the configuration in force. */
    bool waitUntilServing();

    /** Writes a configuration without the targets `withoutTargets` and with the targets `moved` in the other pool. Returns its directory. */
    std::string writeConfiguration(const std::string &name, const std::vector<std::size_t> &withoutTargets = {}, const std::vector<std::size_t> &moved = {});
    /** Runs `daisypassctl apply` and returns its exit status. */
    int apply(const std::string &configurationDirectory, std::size_t controller = 0, int waitMs = 11'000);
    nlohmann::json status(std::size_t controller = 0);

    /** Sends a request and returns the outcome that the caller received. The report is kept for check(). */
    submission_report post(std::size_t entry, const std::string &pool, const request_options &options = {}, const std::string &token = {});
    std::future<submission_report> postLater(std::size_t entry, const std::string &pool, const request_options &options = {}, const std::string &token = {});
    /** Returns a request token that is unique in this deployment. */
    std::string newToken();
    std::string ticket(std::size_t entry);

    http_result call(const endpoint &server, const std::string &method, const std::string &path, const std::string &body = {});
    void platformFaults(const nlohmann::json &faults);
    void targetBehaviour(std::size_t target, const nlohmann::json &behaviour);
    std::vector<execution_record> executions();
    int executionsOf(const std::string &token);
    bool runsOn(std::size_t target, const std::string &token);
    nlohmann::json targetStats(std::size_t target);
    /** Waits until all targets together run at least `count` requests. The slots of a new VM ramp up from 1 over 10 s. */
    bool waitForInFlight(int count);
    bool waitUntilIdle();

    /** Compares the callers' reports with the targets' execution records. Returns one line for each disagreement. */
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
    // Declared last and so destroyed first, because the callbacks of its calls use the members above.
    http_client m_client;
};

} // namespace daisypass::integration
