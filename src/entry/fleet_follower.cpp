#include "entry/fleet_follower.h"

#include "base/log.h"
#include "entry/log_replica.h"
#include "kernel/poll_schedule.h"
#include "services/fleet_log.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace daisypass {
namespace {

constexpr int maxPageRecords = 500;

} // namespace

struct fleet_follower::implementation
{
    implementation(table_service table, object_store objects, const fleet_follower_options &options)
        : log(std::move(table), objects)
        , fileStore(std::move(objects))
        , replica(replica_limits{.records = options.keptRecords})
        , schedule(poll_timing{options.pollInterval, options.minBackoff, options.maxBackoff})
        , random(options.seed)
    {
    }

    void runStoreThread();
    void runPeerThread();
    bool pollStore(failure &reason);
    bool catchUpFromSnapshot(failure &reason);
    void fetchFromPeers();
    bool applyRecords(std::vector<log_record> records, failure &reason);
    std::optional<std::string> findBody(std::string_view hash);
    void raiseHighestRevision(revision_number revision);
    void finishPoll(std::uint64_t request, timestamp startedAt, bool succeeded, const failure &reason);

    fleet_log log; // Used by the store thread only.
    object_store fileStore;
    log_replica replica;
    follower_peers peers;
    std::vector<contact_listener> contactListeners;
    std::thread storeThread;
    std::thread peerThread;

    mutable std::mutex lock;
    std::condition_variable wakeStore;
    std::condition_variable wakePeers;
    std::condition_variable pollFinished;
    poll_schedule schedule;
    std::mt19937_64 random;
    bool stopping = false;
    // Number of polls requested, and how many of these requests were made before the last finished poll began.
    std::uint64_t pollsRequested = 0;
    std::uint64_t pollsServed = 0;
    failure lastPollFailure;
    bool storeReachable = true;
    std::optional<timestamp> storeContact;
    revision_number highest = 0;
    // Set by each report of a revision that is ahead. One fetch per report, so that a failing peer is not called in a loop.
    bool peerAhead = false;
};

std::optional<std::string> fleet_follower::implementation::findBody(std::string_view hash)
{
    if (std::optional<std::string> cached = replica.file(hash)) {
        return cached;
    }
    failure ignored;
    std::optional<std::string> body = fileStore.get("file/" + std::string(hash), ignored);
    if (!body || contentHash(*body) != hash) {
        body = peers.fetchFile ? peers.fetchFile(hash) : std::nullopt;
    }
    if (!body || contentHash(*body) != hash) {
        return std::nullopt;
    }
    replica.cacheFile(*body);
    return body;
}

bool fleet_follower::implementation::applyRecords(std::vector<log_record> records, failure &reason)
{
    // Fetch file bodies before the replica takes its lock, because a fetch can take seconds.
    for (const std::string &hash : replica.missingFiles(records)) {
        findBody(hash);
    }
    return replica.applyRecords(records, reason);
}

bool fleet_follower::implementation::catchUpFromSnapshot(failure &reason)
{
    std::optional<fleet_state> snapshot = log.loadSnapshot(reason);
    if (!snapshot) {
        return false;
    }
    if (snapshot->revision() <= replica.state()->revision()) {
        reason = failure{failure_code::RevisionGap, std::to_string(snapshot->revision()), {}, "a snapshot of a later revision"};
        return false;
    }
    replica.installSnapshot(std::move(*snapshot));
    // Cache the file bodies: peers may fetch them, and the next change of the configuration reads them.
    for (const std::string &hash : replica.missingFiles({})) {
        findBody(hash);
    }
    return true;
}

bool fleet_follower::implementation::pollStore(failure &reason)
{
    // Read before the head: the peer thread may replay later records while the head is read.
    const revision_number replayed = replica.state()->revision();
    const timestamp startedAt = steadyNow();
    const std::optional<log_head> head = log.readHead(reason);
    if (!head) {
        return false;
    }
    raiseHighestRevision(head->revision);
    if (head->revision < replayed) {
        reason = failure{failure_code::BadAnswer, std::to_string(head->revision), {}, "revision " + std::to_string(replayed) + " or later"};
        return false;
    }
    while (replica.state()->revision() < head->revision) {
        failure readFailure;
        std::optional<std::vector<log_record>> records = log.readAfter(replica.state()->revision(), maxPageRecords, readFailure);
        const bool gap = records ? records->empty() : readFailure.code == failure_code::RevisionGap;
        if (gap ? !catchUpFromSnapshot(reason) : !records) {
            reason = gap ? reason : readFailure;
            return false;
        }
        if (!gap && !applyRecords(std::move(*records), reason)) {
            return false;
        }
    }
    {
        const std::lock_guard<std::mutex> guard(lock);
        storeContact = startedAt;
    }
    for (const contact_listener &callback : contactListeners) {
        callback(startedAt, head->revision);
    }
    return true;
}

void fleet_follower::implementation::fetchFromPeers()
{
    if (!peers.fetchLog) {
        return;
    }
    failure reason;
    while (true) {
        const revision_number before = replica.state()->revision();
        const std::optional<log_page> page = peers.fetchLog(before, maxPageRecords);
        if (!page) {
            return;
        }
        if (!page->snapshot.empty()) {
            const file_source files = [this](std::string_view hash) {
                return findBody(hash);
            };
            if (std::optional<fleet_state> snapshot = fleet_state::decode(page->snapshot, files, reason)) {
                replica.installSnapshot(std::move(*snapshot));
            }
        }
        std::vector<log_record> records;
        for (const std::string &text : page->records) {
            std::optional<log_record> record = decodeRecord(text, reason);
            if (!record) {
                break;
            }
            records.push_back(std::move(*record));
        }
        applyRecords(std::move(records), reason);
        const std::lock_guard<std::mutex> guard(lock);
        if (stopping || replica.state()->revision() == before || replica.state()->revision() >= highest) {
            return;
        }
    }
}

void fleet_follower::implementation::raiseHighestRevision(revision_number revision)
{
    const std::lock_guard<std::mutex> guard(lock);
    highest = std::max(highest, revision);
}

void fleet_follower::implementation::finishPoll(std::uint64_t request, timestamp startedAt, bool succeeded, const failure &reason)
{
    bool changed = false;
    {
        const std::lock_guard<std::mutex> guard(lock);
        pollsServed = request;
        lastPollFailure = succeeded ? failure{} : reason;
        changed = storeReachable != succeeded;
        storeReachable = succeeded;
        if (succeeded) {
            schedule.succeeded(startedAt, random());
        } else {
            schedule.failed(steadyNow(), random());
        }
    }
    pollFinished.notify_all();
    if (changed) {
        logEvent(succeeded ? "store_followed" : "store_lost", {{"revision", replica.state()->revision()}, {"reason", succeeded ? "" : describe(reason)}});
    }
}

void fleet_follower::implementation::runStoreThread()
{
    while (true) {
        std::uint64_t request = 0;
        {
            std::unique_lock<std::mutex> guard(lock);
            while (!stopping && pollsRequested == pollsServed && steadyNow() < schedule.due()) {
                wakeStore.wait_for(guard, schedule.due() - steadyNow());
            }
            if (stopping) {
                return;
            }
            request = pollsRequested;
        }
        const timestamp startedAt = steadyNow();
        failure reason;
        const bool succeeded = pollStore(reason);
        finishPoll(request, startedAt, succeeded, reason);
    }
}

void fleet_follower::implementation::runPeerThread()
{
    while (true) {
        {
            std::unique_lock<std::mutex> guard(lock);
            wakePeers.wait(guard, [this] {
                return stopping || peerAhead;
            });
            if (stopping) {
                return;
            }
            peerAhead = false;
        }
        fetchFromPeers();
    }
}

fleet_follower::fleet_follower(table_service table, object_store objects, fleet_follower_options options)
    : m_implementation(std::make_unique<implementation>(std::move(table), std::move(objects), options))
{
}

fleet_follower::~fleet_follower()
{
    stop();
}

void fleet_follower::addListener(listener callback)
{
    m_implementation->replica.addListener(std::move(callback));
}

void fleet_follower::addContactListener(contact_listener callback)
{
    m_implementation->contactListeners.push_back(std::move(callback));
}

void fleet_follower::setPeers(follower_peers peers)
{
    m_implementation->peers = std::move(peers);
}

void fleet_follower::start()
{
    implementation &self = *m_implementation;
    self.storeThread = std::thread([&self] {
        self.runStoreThread();
    });
    self.peerThread = std::thread([&self] {
        self.runPeerThread();
    });
}

void fleet_follower::stop()
{
    implementation &self = *m_implementation;
    {
        const std::lock_guard<std::mutex> guard(self.lock);
        self.stopping = true;
    }
    self.wakeStore.notify_all();
    self.wakePeers.notify_all();
    self.pollFinished.notify_all();
    for (std::thread *thread : {&self.storeThread, &self.peerThread}) {
        if (thread->joinable()) {
            thread->join();
        }
    }
}

std::shared_ptr<const fleet_state> fleet_follower::state() const
{
    return m_implementation->replica.state();
}

void fleet_follower::pollNow()
{
    {
        const std::lock_guard<std::mutex> guard(m_implementation->lock);
        ++m_implementation->pollsRequested;
    }
    m_implementation->wakeStore.notify_one();
}

bool fleet_follower::refresh(duration limit, failure &reason)
{
    implementation &self = *m_implementation;
    std::unique_lock<std::mutex> guard(self.lock);
    const std::uint64_t request = ++self.pollsRequested;
    self.wakeStore.notify_one();
    const bool ended = self.pollFinished.wait_for(guard, limit, [&self, request] {
        return self.stopping || self.pollsServed >= request;
    });
    if (!ended || self.pollsServed < request) {
        reason = failure{failure_code::Timeout, "poll"};
        return false;
    }
    if (self.lastPollFailure.code != failure_code::None) {
        reason = self.lastPollFailure;
        return false;
    }
    return true;
}

void fleet_follower::onPeerRevision(revision_number revision)
{
    implementation &self = *m_implementation;
    const revision_number replayed = self.replica.state()->revision();
    {
        const std::lock_guard<std::mutex> guard(self.lock);
        self.highest = std::max(self.highest, revision);
        if (revision <= replayed) {
            return;
        }
        self.peerAhead = true;
    }
    self.wakePeers.notify_one();
}

std::optional<timestamp> fleet_follower::lastStoreContact() const
{
    const std::lock_guard<std::mutex> guard(m_implementation->lock);
    return m_implementation->storeContact;
}

bool fleet_follower::storeReachable() const
{
    const std::lock_guard<std::mutex> guard(m_implementation->lock);
    return m_implementation->storeReachable;
}

revision_number fleet_follower::highestRevision() const
{
    const std::lock_guard<std::mutex> guard(m_implementation->lock);
    return m_implementation->highest;
}

log_page fleet_follower::page(revision_number after, int limit) const
{
    return m_implementation->replica.page(after, limit);
}

std::optional<std::string> fleet_follower::file(std::string_view hash) const
{
    return m_implementation->replica.file(hash);
}

void fleet_follower::cacheFile(std::string_view text)
{
    m_implementation->replica.cacheFile(text);
}

} // namespace daisypass
