#pragma once

// The replica of the fleet log in one process: the replayed state, recent records and configuration files, which it also serves to peers.
//
//     log_replica replica({});
//     failure reason;
//     if (replica.applyRecords(records, reason)) { use(replica.state()); }
//
// The revision never decreases. All functions are thread-safe; calls of applyRecords() and installSnapshot() are serialised.

#include "kernel/fleet_state.h"
#include "net/peer_messages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

/** Bounds of the memory that the replica uses for its peers. */
struct replica_limits
{
    std::size_t records = 2'000;
    std::size_t recordBytes = 4U << 20U;
    /** Limit of all cached file bodies; those of the current configuration are kept even above it. */
    std::size_t fileBytes = 16U << 20U;
    /** Limit of the records in one page for a peer; a page has at least one record, whatever its size. */
    std::size_t pageBytes = 1U << 20U;
};

class log_replica
{
public:
    using listener = std::function<void(const std::shared_ptr<const fleet_state> &state)>;

    explicit log_replica(replica_limits limits);

    /** Call before the first change. Listeners run inside applyRecords() and installSnapshot(), in order of revision. */
    void addListener(listener callback);

    /** Never null. */
    std::shared_ptr<const fleet_state> state() const;

    /**
     * Applies the records that follow the state and skips those already applied. After a failure the records before the failed one stay
     * applied. The bodies of files that the records refer to must be cached. Fails like fleet_state::apply().
     */
    bool applyRecords(std::span<const log_record> records, failure &reason);
    /** Replaces the state by the snapshot if the snapshot is newer. */
    void installSnapshot(fleet_state snapshot);

    /** Records after this revision, at most `limit`; a snapshot if those records have been discarded. */
    log_page page(revision_number after, int limit) const;

    /** The body of a configuration file, if it is cached. */
    std::optional<std::string> file(std::string_view hash) const;
    void cacheFile(std::string_view text);

    /** Hashes of files that applying the records needs and that are not cached. Without records: the files of the current state. */
    std::vector<std::string> missingFiles(std::span<const log_record> records) const;

private:
    struct encoded_record
    {
        revision_number revision = 0;
        std::string text;
    };

    struct cached_file
    {
        std::string text;
        std::uint64_t sequence = 0;
    };

    void publish(const std::shared_ptr<const fleet_state> &state, std::span<const log_record> applied);
    void evictFiles(const fleet_state &state);

    const replica_limits m_limits;
    std::vector<listener> m_listeners;

    // Held while a change is applied and listeners run, so that they see revisions in order. Lock order: before m_lock.
    std::mutex m_applyLock;

    mutable std::mutex m_lock;
    std::shared_ptr<const fleet_state> m_state;
    std::deque<encoded_record> m_records;
    std::size_t m_recordBytes = 0;
    std::map<std::string, cached_file, std::less<>> m_files;
    std::size_t m_fileBytes = 0;
    std::uint64_t m_fileSequence = 0;
    // The last encoded snapshot served to a peer; served again as long as all records after it are in m_records.
    mutable encoded_record m_snapshot;
};

} // namespace daisypass
