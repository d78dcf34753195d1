#pragma once

// The other nodes: this node's entry in the directory, the directory itself, and requests passed to others.
//
//     std::shared_ptr<node_peers> peers = std::make_shared<node_peers>(store, client, later, self);
//     peers->join(onDirectory);
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

/** What the directory says of machines larger than this one. */
struct larger_machines
{
    /** Largest share of a processor among all nodes. */
    double largestShare = 0;
    /** Version of the newest entry of a much larger machine; it grows when such a machine starts. */
    std::int64_t newestEntryVersion = 0;
};

/** Path that every node answers on the address for other nodes. */
inline constexpr std::string_view alivePath = "/relay/alive";

class node_peers : public std::enable_shared_from_this<node_peers>
{
public:
    node_peers(store_client &store, http_client &client, run_after_function runAfter, node_entry self);

    /** Registers this node and reads the directory from time to time; `changed` is told after each read. */
    void join(std::function<void(const larger_machines &)> onDirectoryRead);
    /** Takes this node's entry out. */
    void leave();
    /** Nothing if the directory doesn't name the node. */
    std::optional<endpoint> addressOf(const std::string &node);
    /** Passes a caller's request to a node drawn from the directory; status 0 if none was reached. */
    void forward(http_request request, http_responder respond);
    /** Tries to connect to a node; `refused` says that no process listens at its address. */
    void probe(const std::string &node, std::function<void(bool refused)> done);
    /** Sends a body to a path of a node, without waiting for the outcome. */
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
