#pragma once

// Runs daisypass-node processes against the platform's stand-in, for integration tests.
//
//     platform_deployment platform({.nodes = 3});
//     std::string job = platform.submit(0, 100, 4);
//     CHECK(platform.waitForPhase(1, job, "completed"));
//     CHECK(platform.report()["breaches"].empty());

#include "http/http_client.h"
#include "integration/child_process.h"
#include "standins/fault_proxy.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace daisypass::integration {

struct platform_options
{
    int nodes = 3;
    int pools = 2;
    int workers = 3;
    int spareVms = 2;
    int waveVms = 0;
    std::uint64_t seed = 1;
    /** Lines that are added to the settings of all nodes. */
    std::string settings;
    /** Whether each node reaches the store through a proxy of its own, so that it can be cut off. */
    bool storeProxies = false;
    /** Memory and descriptors of a node's machine in the settings; 0 leaves the line out. */
    int memoryMb = 0;
    int maxDescriptors = 0;
};

struct node_ports
{
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::uint16_t internal = 0;
};

class platform_deployment
{
public:
    /** Starts the stand-in and the nodes, and waits until every node reports that it is ready. */
    explicit platform_deployment(platform_options options);
    ~platform_deployment();

    child_process &node(std::size_t index)
    {
        return *m_nodes.at(index);
    }
    const node_ports &ports(std::size_t index) const
    {
        return m_ports.at(index);
    }
    /** Starts a node whose process has ended. */
    void restart(std::size_t index);
    /** Waits until a running node holds the lease and returns its index. Throws std::runtime_error on timeout. */
    std::size_t leaseHolder();

    /** Submits a job of one step to the first queue and returns its id; empty unless it was accepted. */
    std::string submit(std::size_t node, int taskMs, int tasks, const std::string &kind = "");
    /** Submits the job again under the same id and returns the HTTP status. */
    int resubmit(std::size_t node, const std::string &id, int taskMs, int tasks);
    /** Cancels the job and returns the HTTP status, or 0 without a response. */
    int cancel(std::size_t node, const std::string &id);
    /** State of the job; empty if the node returns none. */
    std::string phase(std::size_t node, const std::string &id);
    bool waitForPhase(std::size_t node, const std::string &id, const std::string &phase);
    /** Sends a request without a body and returns the HTTP status, or 0 without a response. */
    int status(const std::string &method, std::size_t node, const std::string &path);

    /** Further requests to nodes carry this key; none if it is empty. */
    void setKey(std::string key)
    {
        m_key = std::move(key);
    }
    /** Writes the configuration of the operator as JSON. It is acknowledged when this returns. */
    void putConfiguration(const nlohmann::json &configuration);
    /** Cuts the node's link to the store, or restores it. The deployment must have proxies. */
    void cutFromStore(std::size_t node, bool cut);

    /** Posts to a path of the stand-in's admin API, for example "/admin/fault?kind=busy". */
    void admin(const std::string &path, const std::string &body = {});
    nlohmann::json report();

private:
    std::string settingsPath(std::size_t index) const;
    void writeSettings(std::size_t index);
    std::string body(int taskMs, int tasks, const std::string &kind) const;
    http_result call(const std::string &method, const std::string &url, const std::string &body);
    std::string url(std::size_t node, const std::string &path) const;

    platform_options m_options;
    std::string m_directory;
    http_client m_client;
    std::mt19937_64 m_random;
    std::unique_ptr<child_process> m_standin;
    std::uint16_t m_standinPort = 0;
    std::vector<std::unique_ptr<fault_proxy>> m_storeProxies;
    std::string m_key;
    std::vector<node_ports> m_ports;
    std::vector<std::unique_ptr<child_process>> m_nodes;
    int m_starts = 0;
};

} // namespace daisypass::integration
