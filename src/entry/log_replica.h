#pragma once

// The replayed fleet state of one process, with the recent records and the configuration files that it can serve to peers.
//
//     log_replica replica({});
//     failure reason;
//     if (replica.extend(records, reason)) { tell(replica.state()); }
//
// The revision never falls. All functions are safe from any thread; extend() and replace() apply one after the other.

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

struct replica_limits
{
    std::size_t records = 2'000;
    std::size_t recordBytes = 4U << 20U;
    /** Bodies of the current configuration are kept beyond this. */
    std::size_t fileBytes = 16U << 20U;
    /** One page for a peer; at least one record is served. */
    std::size_t pageBytes = 1U << 20U;
};

class log_replica
{
public:
    using listener = std::function<void(const std::shared_ptr<const fleet_state> &state)>;

    explicit log_replica(replica_limits limits);

    /** Before the first change. Listeners run during extend() and replace(), in the order of revisions. */
    void addListener(listener callback);

    /** Never null. */
    std::shared_ptr<const fleet_state> state() const;

    /**
     * Applies the records that follow the state and skips those that it holds. All that could be applied is kept also on failure.
     * Bodies of the files that the records name must be held. Fails like fleet_state::apply().
     */
    bool applyRecords(std::span<const log_record> records, failure &reason);
    /** Takes over a snapshot if it is newer. */
    void installSnapshot(fleet_state snapshot);

    log_page page(revision_number after, int limit) const;

    std::optional<std::string> file(std::string_view hash) const;
    void cacheFile(std::string_view text);

    /** Hashes of files whose bodies are needed to apply the records (the state's own if there are none) and not held. */
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

    // Held while a change is applied and told, so that listeners see revisions in order. Taken before m_lock.
    std::mutex m_applyLock;

    mutable std::mutex m_lock;
    std::shared_ptr<const fleet_state> m_state;
    std::deque<encoded_record> m_records;
    std::size_t m_recordBytes = 0;
    std::map<std::string, cached_file, std::less<>> m_files;
    std::size_t m_fileBytes = 0;
    std::uint64_t m_fileSequence = 0;
    // The last encoded state that a peer asked for; still of use while the records after it are held.
    mutable encoded_record m_snapshot;
};

} // namespace daisypass
