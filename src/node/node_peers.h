#pragma once

// Connections to the other nodes: registers this node in the directory, reads the directory, and forwards requests.
//
//     std::shared_ptr<node_peers> peers = std::make_shared<node_peers>(store, client, runAfter, self);
//     peers->join(onDirectoryRead);
//     peers->forward(request, respond);
//     peers->leave();

#include "http/http_client.h"
#include "http/http_server.h"
#include "node/node_directory.h"
#include "node/table_feed.h"
#include "platform/store_client.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>

namespace daisypass {

/** Summary of the directory that a node uses to leave the lease to larger machines. */
struct larger_machines
{
    /** Largest processor share among all nodes, this one included. */
    double largestShare = 0;
    /** Highest version of a much larger machine's entry, which rises when such a machine starts; 0 without one. */
    std::int64_t newestEntryVersion = 0;
};

/** Liveness path on the address for other nodes. */
inline constexpr std::string_view alivePath = "/relay/alive";

class node_peers : public std::enable_shared_from_this<node_peers>
{
public:
    node_peers(store_client &store, http_client &client, run_after_function runAfter, node_entry self);

    /** Registers this node and reads the directory every few seconds; calls `onDirectoryRead` after each successful read. */
    void join(std::function<void(const larger_machines &)> onDirectoryRead);
    /** Deletes this node's entry from the directory. */
    void leave();
    /** Returns nothing if the directory has no entry for the node. */
    std::optional<endpoint> addressOf(const std::string &node);
    /**
     * Forwards a caller's request to a random other node, and again if that node isn't reached or answers that it is unavailable. The
     * answer has status 0 if the last attempt reached no node, and 504 if a node was reached and didn't answer.
     */
    void forward(http_request request, http_responder respond);
    /** Tries to connect to a node; `refused` means that no process listens at its address. */
    void probe(const std::string &node, std::function<void(bool refused)> done);
    /** Posts a body to a path of a node and ignores the outcome. */
    void notify(const endpoint &node, const std::string &path, const std::string &body);

private:
    void registerSelf();
    void readDirectory();
    larger_machines updateDirectory(const std::vector<store_row> &rows);
    void forward(http_request request, http_responder respond, int attemptsLeft);
    std::optional<endpoint> pickOtherNode();

    store_client &m_store;
    http_client &m_client;
    run_after_function m_runAfter;
    node_entry m_self;
    std::function<void(const larger_machines &)> m_onDirectoryRead;
    std::mutex m_lock;
    std::map<std::string, node_entry> m_directory;
    std::mt19937_64 m_random;
};

} // namespace daisypass
