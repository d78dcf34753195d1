#include "services/fleet_log.h"

#include "services/write_id.h"

#include <nlohmann/json.hpp>

#include <cinttypes>
#include <cstdio>

namespace daisypass {
namespace {

constexpr const char *headKey = "fleet/head";
constexpr const char *snapshotKey = "fleet/snapshot";
constexpr const char *logPrefix = "fleet/log/";
// The first retry usually resolves a lost response; the others cover a short outage.
constexpr int maxAttempts = 3;

std::string encodeRevision(revision_number revision)
{
    return nlohmann::json{{"revision", revision}}.dump();
}

std::optional<revision_number> decodeRevision(const table_row &row, failure &reason)
{
    const nlohmann::json parsed = nlohmann::json::parse(row.value, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("revision") || !parsed["revision"].is_number_unsigned()) {
        reason = failure{failure_code::BadAnswer, row.key, {}, "an object with a revision"};
        return std::nullopt;
    }
    return parsed["revision"].get<revision_number>();
}

} // namespace

std::string logKey(revision_number revision)
{
    char digits[24];
    std::snprintf(digits, sizeof digits, "%020" PRIu64, revision);
    return std::string(logPrefix) + digits;
}

fleet_log::fleet_log(table_service table, object_store objects)
    : m_table(std::move(table))
    , m_objects(std::move(objects))
{
}

std::optional<log_head> fleet_log::readHead(failure &reason)
{
    failure readFailure;
    const std::optional<table_row> row = m_table.read(headKey, readFailure);
    if (!row) {
        if (readFailure.code == failure_code::NotFound) {
            return log_head{};
        }
        reason = readFailure;
        return std::nullopt;
    }
    const std::optional<revision_number> revision = decodeRevision(*row, reason);
    if (!revision) {
        return std::nullopt;
    }
    return log_head{*revision, row->version};
}

commit_outcome fleet_log::append(const log_record &record, const log_head &expected, failure &reason)
{
    const table_transaction transaction{
        record.writeId, {{headKey, expected.version}}, {{headKey, encodeRevision(record.revision)}, {logKey(record.revision), encodeRecord(record)}}, {}};
    bool mayBeCommitted = false;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        const commit_outcome outcome = m_table.commit(transaction, reason);
        if (outcome == commit_outcome::Committed) {
            return outcome;
        }
        if (!mayBeCommitted && outcome != commit_outcome::Unknown) {
            return outcome;
        }
        // An earlier attempt may have taken effect, so a conflict can be with this same record.
        mayBeCommitted = true;
        failure ignored;
        const std::optional<append_status> status = resolveAppend(record.revision, record.writeId, ignored);
        if (status == append_status::Committed) {
            return commit_outcome::Committed;
        }
        if (status == append_status::Conflict) {
            reason = failure{failure_code::StoreConflict, headKey};
            return commit_outcome::Conflict;
        }
    }
    reason = failure{failure_code::StoreOutcomeUnknown, record.writeId};
    return commit_outcome::Unknown;
}

std::optional<append_status> fleet_log::resolveAppend(revision_number revision, std::string_view writeId, failure &reason)
{
    failure readFailure;
    const std::optional<table_row> row = m_table.read(logKey(revision), readFailure);
    if (row) {
        return row->writeId == writeId ? append_status::Committed : append_status::Conflict;
    }
    if (readFailure.code == failure_code::NotFound) {
        return append_status::Absent;
    }
    reason = readFailure;
    return std::nullopt;
}

std::optional<std::vector<log_record>> fleet_log::readAfter(revision_number revision, int limit, failure &reason)
{
    const std::optional<std::vector<table_row>> rows = m_table.scan(logPrefix, logKey(revision), limit, reason);
    if (!rows) {
        return std::nullopt;
    }
    std::vector<log_record> records;
    for (const table_row &row : *rows) {
        std::optional<log_record> record = decodeRecord(row.value, reason);
        if (!record) {
            return std::nullopt;
        }
        if (record->revision != revision + records.size() + 1) {
            reason = failure{failure_code::RevisionGap, std::to_string(record->revision), {}, "revision " + std::to_string(revision + records.size() + 1)};
            return std::nullopt;
        }
        records.push_back(std::move(*record));
    }
    return records;
}

bool fleet_log::writeSnapshot(const fleet_state &state, int deleteLimit, failure &reason)
{
    failure readFailure;
    const std::optional<table_row> row = m_table.read(snapshotKey, readFailure);
    if (!row && readFailure.code != failure_code::NotFound) {
        reason = readFailure;
        return false;
    }
    revision_number latest = 0;
    if (row) {
        const std::optional<revision_number> decoded = decodeRevision(*row, reason);
        if (!decoded) {
            return false;
        }
        latest = *decoded;
    }
    if (state.revision() > latest) {
        const std::string name = "snapshot/" + std::to_string(state.revision());
        if (!m_objects.put(name, state.encode(), reason)) {
            return false;
        }
        const table_transaction transaction{name, {{snapshotKey, row ? row->version : 0}}, {{snapshotKey, encodeRevision(state.revision())}}, {}};
        if (m_table.commit(transaction, reason) != commit_outcome::Committed) {
            return false;
        }
        latest = state.revision();
    }
    return latest <= keptRecords || trim(latest, deleteLimit, reason);
}

std::optional<revision_number> fleet_log::snapshotRevision(failure &reason)
{
    failure readFailure;
    const std::optional<table_row> row = m_table.read(snapshotKey, readFailure);
    if (row) {
        return decodeRevision(*row, reason);
    }
    if (readFailure.code == failure_code::NotFound) {
        return 0;
    }
    reason = readFailure;
    return std::nullopt;
}

bool fleet_log::trim(revision_number snapshot, int limit, failure &reason)
{
    const std::optional<std::vector<table_row>> oldestRows = m_table.scan(logPrefix, "", limit, reason);
    if (!oldestRows) {
        return false;
    }
    // Several trims may follow one snapshot, and each is a transaction of its own.
    table_transaction removal{newWriteId(), {}, {}, {}};
    for (const table_row &record : *oldestRows) {
        if (record.key < logKey(snapshot - keptRecords)) {
            removal.deletes.push_back(record.key);
        }
    }
    return removal.deletes.empty() || m_table.commit(removal, reason) == commit_outcome::Committed;
}

std::optional<fleet_state> fleet_log::loadSnapshot(failure &reason)
{
    return loadSnapshot(files(), reason);
}

std::optional<fleet_state> fleet_log::loadSnapshot(const file_source &files, failure &reason)
{
    const std::optional<table_row> row = m_table.read(snapshotKey, reason);
    if (!row) {
        return std::nullopt;
    }
    const std::optional<revision_number> revision = decodeRevision(*row, reason);
    if (!revision) {
        return std::nullopt;
    }
    const std::optional<std::string> body = m_objects.get("snapshot/" + std::to_string(*revision), reason);
    if (!body) {
        return std::nullopt;
    }
    return fleet_state::decode(*body, files, reason);
}

std::optional<std::string> fleet_log::putFile(std::string_view text, failure &reason)
{
    std::string hash = contentHash(text);
    // Writing an object is idempotent, so a put whose response was lost is simply repeated.
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        if (m_objects.put("file/" + hash, text, reason)) {
            return hash;
        }
    }
    return std::nullopt;
}

std::optional<std::string> fleet_log::file(std::string_view hash, failure &reason)
{
    return m_objects.get("file/" + std::string(hash), reason);
}

file_source fleet_log::files()
{
    return [this](std::string_view hash) {
        failure ignored;
        return file(hash, ignored);
    };
}

} // namespace daisypass
