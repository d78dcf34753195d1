#pragma once

// The fleet log in the platform's table service, with snapshots and configuration files in the object store.
//
//     fleet_log log(table, objects);
//     std::optional<log_head> head = log.readHead(reason);
//     log_record record{head->revision + 1, writeId, now, changes};
//     commit_outcome outcome = log.append(record, *head, reason);
//
// Calls block. The class has no lock and starts no thread: only one thread may use an object at a time. Copies are cheap.

#include "kernel/fleet_state.h"
#include "services/object_store.h"
#include "services/table_service.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

/** Revision of the last record, and version of the head row, on which an append is conditional; both are 0 for an empty log. */
struct log_head
{
    revision_number revision = 0;
    std::uint64_t version = 0;
};

/** What the log says about an append whose outcome is unknown. */
enum class append_status {
    Committed,
    /** Another record has this revision. */
    Conflict,
    /** No record has this revision. A transaction that is still in flight may write it later. */
    Absent,
};

class fleet_log
{
public:
    /** Records before the newest snapshot that are kept, so that a follower that lags a little needs no snapshot. */
    static constexpr revision_number keptRecords = 1'000;
    /** Records between two snapshots. */
    static constexpr revision_number snapshotInterval = 1'000;

    fleet_log(table_service table, object_store objects);

    /** Fails with StoreUnavailable, StoreOverloaded or BadAnswer. */
    std::optional<log_head> readHead(failure &reason);

    /**
     * Appends the record if the head has not changed. After a lost response, the write id of the record with this revision tells the
     * outcome; if there is no such record, the same transaction is retried, which cannot take effect twice. Returns Unknown if
     * the last attempt leaves the outcome open, as in an outage of the store; resolveAppend() returns the outcome later.
     */
    commit_outcome append(const log_record &record, const log_head &expected, failure &reason);

    /** Whether the record with this revision has this write id. Fails with StoreUnavailable, StoreOverloaded or BadAnswer. */
    std::optional<append_status> resolveAppend(revision_number revision, std::string_view writeId, failure &reason);

    /** Up to `limit` records after this revision, in order and without a gap. Fails with RevisionGap if a snapshot replaced them. */
    std::optional<std::vector<log_record>> readAfter(revision_number revision, int limit, failure &reason);

    /** Writes a snapshot, makes it the newest one, and deletes up to `deleteLimit` old rows. Does not replace a newer snapshot. */
    bool writeSnapshot(const fleet_state &state, int deleteLimit, failure &reason);
    /** Revision of the newest snapshot; 0 if there is none. */
    std::optional<revision_number> snapshotRevision(failure &reason);
    /** Deletes up to `limit` records that are more than keptRecords revisions before the snapshot with this revision. */
    bool trim(revision_number snapshot, int limit, failure &reason);
    /** Loads the newest snapshot. Fails with NotFound if there is none. */
    std::optional<fleet_state> loadSnapshot(failure &reason);
    /** The same, with the bodies of configuration files from `files`. */
    std::optional<fleet_state> loadSnapshot(const file_source &files, failure &reason);

    /** Stores the body of a configuration file and returns its hash. */
    std::optional<std::string> putFile(std::string_view text, failure &reason);
    /** Reads the body of a configuration file. Fails like object_store::get(). */
    std::optional<std::string> file(std::string_view hash, failure &reason);
    /** A function that reads file bodies by hash, for fleet_state::apply(); must not outlive this object. */
    file_source files();

private:
    table_service m_table;
    object_store m_objects;
};

std::string logKey(revision_number revision);

} // namespace daisypass
