#pragma once

// A small deployment on loopback: the platform's stand-ins in this process, and the nodes as processes of their own.

#include "platform.h"

#include <sys/types.h>

namespace review {

inline constexpr const char *host = "pule25.example";
inline constexpr const char *firstQueue = "/puxa400/";
inline constexpr const char *secondQueue = "/wuhu344/";
inline constexpr const char *firstPool = "huvo11a";
inline constexpr const char *secondPool = "kafi81c";
/** The rack of the first machine of the first pool; no other machine is there. */
inline constexpr const char *ownRack = "r1-9";
inline constexpr int maxAttempts = 4;
inline constexpr int machinesPerPool = 7;

struct deployment_options
{
    /** The command that starts a node, from the deploy file. */
    std::string command;
    /** A temporary folder for settings and logs. */
    std::string directory;
    std::string recordFile;
    int nodes = 3;
};

class deployment
{
public:
    deployment(const deployment_options &options, planner plan);

    /** Starts all nodes and waits until they are ready; false if they aren't in time. */
    bool start();
    void startNode(std::size_t node);
    void signalNode(std::size_t node, int number);
    /** Kills all nodes. */
    void end();

    record &log()
    {
        return m_log;
    }
    store &platform()
    {
        return m_store;
    }
    fleet &machines()
    {
        return m_fleet;
    }
    /** Writes the configuration; without the first queue if `withFirstQueue` is false. */
    void configure(std::int64_t version, bool withFirstQueue = true);

    /** Sends one client request to a node and records it and its answer. */
    response call(std::size_t node, const std::string &method, const std::string &path, const std::string &body = {});
    /** Submits a job, and again while the answer leaves the outcome open; the id, or nothing if it was refused. */
    std::optional<std::string> submit(const std::string &queue, const json &steps, const std::string &spec = "text");
    /** The job's state, asked at all nodes in turn until one answers; empty if none does. */
    std::string stateOf(const std::string &queue, const std::string &id);
    std::string newId();
    std::size_t nodes() const
    {
        return m_processes.size();
    }

private:
    struct node_process
    {
        std::uint16_t ports = 0;
        pid_t pid = -1;
    };

    std::string settingsOf(std::size_t node) const;

    deployment_options m_options;
    record m_log;
    store m_store;
    fleet m_fleet;
    server m_storeServer;
    server m_fleetServer;
    std::vector<node_process> m_processes;
    std::size_t m_nextNode = 0;
    unsigned m_lastId = 0;
};

} // namespace review
