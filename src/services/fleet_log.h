#pragma once

// The fleet log in the platform's table service, with snapshots and configuration files in the object store.
//
//     fleet_log log(table, objects);
//     std::optional<log_head> head = log.readHead(reason);
//     log_record record{head->revision + 1, writeId, now, changes};
//     commit_outcome outcome = log.append(record, *head, reason);
//
// Calls block; the class holds no lock and starts no thread. One thread uses an object at a time; copies are cheap.

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

/** Revision of the last record and the version of the row that holds it; both are 0 for an empty log. */
struct log_head
{
    revision_number revision = 0;
    std::uint64_t version = 0;
};

enum class append_settlement {
    Committed,
    /** Another record has this revision. */
    Conflict,
    /** No record has this revision. A transaction that is still on its way may yet write it. */
    Absent,
};

class fleet_log
{
public:
    /** Rows below the newest snapshot that are kept, so that a follower that lags a little needs no snapshot. */
    static constexpr revision_number keptRecords = 1'000;
    static constexpr revision_number snapshotInterval = 1'000;

    fleet_log(table_service table, object_store objects);

    /** Fails with StoreUnavailable, StoreOverloaded or BadAnswer. */
    std::optional<log_head> readHead(failure &reason);

    /**
     * Writes the record if the head has not changed. A lost answer is settled by repeating the same transaction, which cannot
     * take effect twice, and by the write id of the row. Unknown is returned only while the store does not answer;
     * settle() tells the outcome later.
     */
    commit_outcome append(const log_record &record, const log_head &expected, failure &reason);

    /** Who wrote the record with this revision. Fails with StoreUnavailable, StoreOverloaded or BadAnswer. */
    std::optional<append_settlement> settle(revision_number revision, std::string_view writeId, failure &reason);

    /** Records after this revision, in order and without a gap. Fails with RevisionGap if they were replaced by a snapshot. */
    std::optional<std::vector<log_record>> readAfter(revision_number revision, int limit, failure &reason);

    /** Writes a snapshot, names it, and deletes up to `deleteLimit` old rows. A newer snapshot is left alone. */
    bool writeSnapshot(const fleet_state &state, int deleteLimit, failure &reason);
    /** Revision of the newest snapshot; 0 if there is none. */
    std::optional<revision_number> snapshotRevision(failure &reason);
    /** Deletes up to `limit` rows that are keptRecords or more below the snapshot with this revision. */
    bool trim(revision_number snapshot, int limit, failure &reason);
    /** The newest snapshot. Fails with NotFound if there is none. */
    std::optional<fleet_state> loadSnapshot(failure &reason);
    /** The same, with the bodies of configuration files from `files`. */
    std::optional<fleet_state> loadSnapshot(const file_source &files, failure &reason);

    /** Stores the body of a configuration file and returns its hash. */
    std::optional<std::string> putFile(std::string_view text, failure &reason);
    std::optional<std::string> file(std::string_view hash, failure &reason);
    /** Bodies by hash, for fleet_state::apply(); must not outlive this object. */
    file_source files();

private:
    table_service m_table;
    object_store m_objects;
};

std::string logKey(revision_number revision);

} // namespace daisypass
