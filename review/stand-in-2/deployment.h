#pragma once

// A small deployment for one case: the store, the fleet service, the executors of some services, and a client of the nodes.

#include "executor.h"

#include <memory>

namespace review {

/** How a case ended; the values are the exit codes. */
enum class verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

struct case_options
{
    /** Directory for the settings files of the nodes. */
    std::string directory;
    std::string recordPath;
};

/** A service with machines of one kind. Its queue has the path prefix "/SERVICE/". */
struct service_definition
{
    std::string name;
    executor_kind kind;
    int machineCount = 0;
    /** The queue's policy allows only some executors to run a step; the advice service knows which ones. */
    bool advice = false;
};

class deployment
{
public:
    static constexpr int maxAttempts = 3;

    deployment(const case_options &options, std::vector<service_definition> services);

    /** Starts the stand-ins, writes the settings of the nodes, and waits until a first job has been completed. */
    bool start();
    event_record &record()
    {
        return m_record;
    }
    /** All executors so far, also those that have left, in the order in which they came. */
    std::vector<executor *> executors();
    executor &find(const std::string &id);
    /** The listener is called for the starts on all executors. */
    void onStart(executor::start_listener listener);
    /** The operator's request that the machines have their upkeep, at most `cap` of them at once. */
    void requestWave(const std::vector<std::string> &machines, int durationS, int cap);
    /** The machine's executor if it is up; null otherwise. */
    executor *executorOn(const std::string &machine);
    /** Submits a job of one step; false if it wasn't accepted. */
    bool submit(const std::string &service, const std::string &job, const std::string &spec, json step);
    /** Asks for the state until it is one of these or the time is over; returns the last one. */
    std::string awaitState(const std::string &service, const std::string &job, const std::vector<std::string> &states, millis timeoutMs);

private:
    struct machine
    {
        std::string name;
        service_definition service;
        executor *current = nullptr;
        std::int64_t fenceToken = 0;
        bool upkeepDone = false;
    };

    http_response handleFleet(const http_request &request);
    http_response listMachines();
    http_response advise(const json &body);
    http_response maintain(const http_request &request);
    bool bringUp(machine &where);
    http_response callNode(const std::string &method, const std::string &path, const std::string &body);
    void writeConfiguration();
    void writeSettings();
    bool nodesAreReady();

    case_options m_options;
    std::vector<service_definition> m_services;
    event_record m_record;
    store m_store;
    /** The store, the fleet service and the advice service have addresses of their own. */
    http_server m_storeServer;
    http_server m_fleetServer;
    http_server m_adviceServer;
    std::mutex m_lock;
    std::vector<machine> m_machines;
    std::set<std::string> m_waveMachines;
    /** The advice service handles one call at a time, in turn: the numbers of the last call that came, and of the last that was handled. */
    std::mutex m_adviceLock;
    std::condition_variable m_adviceTurn;
    std::int64_t m_adviceCalls = 0;
    std::int64_t m_adviceHandled = 0;
    std::vector<std::unique_ptr<executor>> m_executors;
    executor::start_listener m_onStart;
    std::vector<std::uint16_t> m_frontPorts;
    std::size_t m_nextNode = 0;
};

} // namespace review
