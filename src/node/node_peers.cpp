#include "node/node_peers.h"

#include "http/http_answers.h"
#include "node/front_service.h"
#include "node/tables.h"
#include "platform/records.h"
#include "sched/lease_rules.h"

#include <algorithm>

namespace daisypass {
namespace {

constexpr std::chrono::milliseconds storeTimeout{1'000};
constexpr std::chrono::milliseconds registerRetryDelay{500};
// The directory changes only when machines start or stop. The delays of lease candidates depend on it.
constexpr std::chrono::milliseconds directoryReadInterval{4'000};
constexpr std::chrono::milliseconds firstDirectoryReadDelay{300};
// A node that can't serve a request makes at most this many attempts to forward it, each to a random other node. Both may go to the same
// one.
constexpr int maxForwardAttempts = 2;
constexpr std::chrono::milliseconds forwardConnectTimeout{250};
constexpr std::chrono::milliseconds forwardTimeout{1'500};

// Keeps only the headers that are meant for the caller or for this node, not those of the connection between the nodes.
http_response toCallerResponse(http_response response)
{
    const std::string version(findHeader(response.headers, configurationHeader));
    response.headers.clear();
    response.headers.push_back({std::string(configurationHeader), version});
    if (!response.body.empty()) {
        response.headers.push_back({"Content-Type", "application/json"});
    } else if (response.status == statusUnauthorized) {
        response.headers.push_back({"WWW-Authenticate", "Bearer"});
    } else if (response.status == statusUnavailable) {
        response.headers.push_back({"Retry-After", "1"});
    }
    return response;
}

} // namespace

node_peers::node_peers(store_client &store, http_client &client, run_after_function runAfter, node_entry self)
    : m_store(store)
    , m_client(client)
    , m_runAfter(std::move(runAfter))
    , m_self(std::move(self))
    , m_random(std::random_device{}())
{
}

void node_peers::join(std::function<void(const larger_machines &)> onDirectoryRead)
{
    m_onDirectoryRead = std::move(onDirectoryRead);
    registerSelf();
    m_runAfter(firstDirectoryReadDelay, [self = shared_from_this()] {
        self->readDirectory();
    });
}

void node_peers::registerSelf()
{
    row_transaction transaction;
    transaction.puts = {{tables::nodeRow(m_self.node), writeNode(m_self)}};
    m_store.transact(transaction, storeTimeout, [self = shared_from_this()](const transact_result &result) {
        if (result.status != store_status::Ok) {
            self->m_runAfter(registerRetryDelay, [self] {
                self->registerSelf();
            });
        }
    });
}

void node_peers::leave()
{
    row_transaction transaction;
    transaction.deletes = {tables::nodeRow(m_self.node)};
    m_store.transact(transaction, storeTimeout, [](const transact_result &) {
        // The outcome is ignored: an entry that remains costs the lease holder one failed exchange.
    });
}

void node_peers::readDirectory()
{
    m_store.get({tables::nodes, "", "", ""}, storeTimeout, [self = shared_from_this()](const rows_result &result) {
        if (result.status == store_status::Ok) {
            self->m_onDirectoryRead(self->updateDirectory(result.rows));
        }
        self->m_runAfter(directoryReadInterval, [self] {
            self->readDirectory();
        });
    });
}

larger_machines node_peers::updateDirectory(const std::vector<store_row> &rows)
{
    larger_machines larger;
    larger.largestShare = m_self.cpuShare;
    const std::lock_guard<std::mutex> guard(m_lock);
    m_directory.clear();
    for (const store_row &row : rows) {
        const std::optional<node_entry> entry = readNode(row.value);
        if (!entry) {
            continue;
        }
        m_directory[row.key.key] = *entry;
        larger.largestShare = std::max(larger.largestShare, entry->cpuShare);
        if (sched::isMuchSmaller(m_self.cpuShare, entry->cpuShare)) {
            larger.newestEntryVersion = std::max(larger.newestEntryVersion, row.version);
        }
    }
    return larger;
}

std::optional<endpoint> node_peers::addressOf(const std::string &node)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto found = m_directory.find(node);
    if (found == m_directory.end()) {
        return std::nullopt;
    }
    return found->second.address;
}

std::optional<endpoint> node_peers::pickOtherNode()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    std::vector<endpoint> others;
    for (const std::pair<const std::string, node_entry> &node : m_directory) {
        if (node.first != m_self.node) {
            others.push_back(node.second.address);
        }
    }
    if (others.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> pick(0, others.size() - 1);
    return others[pick(m_random)];
}

void node_peers::forward(http_request request, http_responder respond)
{
    forward(std::move(request), std::move(respond), maxForwardAttempts);
}

void node_peers::forward(http_request request, http_responder respond, int attemptsLeft)
{
    const std::optional<endpoint> other = attemptsLeft > 0 ? pickOtherNode() : std::nullopt;
    if (!other) {
        respond(emptyResponse(0));
        return;
    }
    http_call call;
    call.method = request.method;
    call.url = "http://" + toString(*other) + request.path;
    call.headers = {{"Host", std::string(findHeader(request.headers, "Host"))}, {"Content-Type", "application/json"}};
    const std::string_view deadline = findHeader(request.headers, deadlineHeader);
    if (!deadline.empty()) {
        call.headers.push_back({std::string(deadlineHeader), std::string(deadline)});
    }
    const std::string_view key = findHeader(request.headers, keyHeader);
    if (!key.empty()) {
        call.headers.push_back({std::string(keyHeader), std::string(key)});
    }
    call.headers.push_back({std::string(configurationHeader), std::string(findHeader(request.headers, configurationHeader))});
    call.body = request.body;
    call.connectTimeout = forwardConnectTimeout;
    call.totalTimeout = forwardTimeout;
    m_client.send(std::move(call),
                  [self = shared_from_this(), request = std::move(request), respond = std::move(respond), attemptsLeft](http_result result) mutable {
                      const bool refused = result.state == send_state::Answered && result.response.status == statusUnavailable;
                      if (result.state == send_state::NotSent || (refused && attemptsLeft > 1)) {
                          self->forward(std::move(request), std::move(respond), attemptsLeft - 1);
                      } else if (result.state == send_state::Answered) {
                          respond(toCallerResponse(std::move(result.response)));
                      } else {
                          respond(emptyResponse(statusGatewayTimeout));
                      }
                  });
}

// Only a refused connection shows that the process is gone: without an answer it may be alive behind a network fault.
void node_peers::probe(const std::string &node, std::function<void(bool refused)> done)
{
    const std::optional<endpoint> address = addressOf(node);
    if (!address) {
        m_runAfter(std::chrono::milliseconds(1), [done = std::move(done)] {
            done(false);
        });
        return;
    }
    http_call call;
    call.url = "http://" + toString(*address) + std::string(alivePath);
    call.connectTimeout = forwardConnectTimeout;
    call.totalTimeout = forwardConnectTimeout;
    m_client.send(std::move(call), [done = std::move(done)](const http_result &result) {
        done(result.state == send_state::NotSent && result.reason.code == failure_code::ConnectFailed);
    });
}

void node_peers::notify(const endpoint &node, const std::string &path, const std::string &body)
{
    http_call call;
    call.method = "POST";
    call.url = "http://" + toString(node) + path;
    call.body = body;
    call.connectTimeout = forwardConnectTimeout;
    call.totalTimeout = forwardTimeout;
    m_client.send(std::move(call), [](const http_result &) {
    });
}

} // namespace daisypass
