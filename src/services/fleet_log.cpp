#include "services/fleet_log.h"

#include <nlohmann/json.hpp>

#include <cinttypes>
#include <cstdio>

namespace daisypass {
namespace {

constexpr const char *headKey = "fleet/head";
constexpr const char *snapshotKey = "fleet/snapshot";
constexpr const char *logPrefix = "fleet/log/";
// A lost answer is usually settled by the first repetition; the others cover a short outage.
constexpr int appendAttempts = 3;

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
    failure why;
    const std::optional<table_row> row = m_table.read(headKey, why);
    if (!row) {
        if (why.code == failure_code::NotFound) {
            return log_head{};
        }
        reason = why;
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
    bool sent = false;
    for (int attempt = 0; attempt < appendAttempts; ++attempt) {
        const commit_outcome outcome = m_table.commit(transaction, reason);
        if (outcome == commit_outcome::Committed) {
            return outcome;
        }
        if (!sent && outcome != commit_outcome::Unknown) {
            return outcome;
        }
        // An earlier attempt may have taken effect, so a conflict can be with this very record.
        sent = true;
        failure ignored;
        const std::optional<append_settlement> settled = settle(record.revision, record.writeId, ignored);
        if (settled == append_settlement::Committed) {
            return commit_outcome::Committed;
        }
        if (settled == append_settlement::Conflict) {
            reason = failure{failure_code::StoreConflict, headKey};
            return commit_outcome::Conflict;
        }
    }
    reason = failure{failure_code::StoreOutcomeUnknown, record.writeId};
    return commit_outcome::Unknown;
}

std::optional<append_settlement> fleet_log::settle(revision_number revision, std::string_view writeId, failure &reason)
{
    failure why;
    const std::optional<table_row> row = m_table.read(logKey(revision), why);
    if (row) {
        return row->writeId == writeId ? append_settlement::Committed : append_settlement::Conflict;
    }
    if (why.code == failure_code::NotFound) {
        return append_settlement::Absent;
    }
    reason = why;
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
    failure why;
    const std::optional<table_row> row = m_table.read(snapshotKey, why);
    if (!row && why.code != failure_code::NotFound) {
        reason = why;
        return false;
    }
    revision_number named = 0;
    if (row) {
        const std::optional<revision_number> decoded = decodeRevision(*row, reason);
        if (!decoded) {
            return false;
        }
        named = *decoded;
    }
    if (state.revision() > named) {
        const std::string name = "snapshot/" + std::to_string(state.revision());
        if (!m_objects.put(name, state.encode(), reason)) {
            return false;
        }
        const table_transaction transaction{name, {{snapshotKey, row ? row->version : 0}}, {{snapshotKey, encodeRevision(state.revision())}}, {}};
        if (m_table.commit(transaction, reason) != commit_outcome::Committed) {
            return false;
        }
        named = state.revision();
    }
    return named <= keptRecords || trim(named, deleteLimit, reason);
}

std::optional<revision_number> fleet_log::snapshotRevision(failure &reason)
{
    failure why;
    const std::optional<table_row> row = m_table.read(snapshotKey, why);
    if (row) {
        return decodeRevision(*row, reason);
    }
    if (why.code == failure_code::NotFound) {
        return 0;
    }
    reason = why;
    return std::nullopt;
}

bool fleet_log::trim(revision_number snapshot, int limit, failure &reason)
{
    const std::optional<std::vector<table_row>> old = m_table.scan(logPrefix, "", limit, reason);
    if (!old) {
        return false;
    }
    table_transaction removal{"trim/" + std::to_string(snapshot), {}, {}, {}};
    for (const table_row &record : *old) {
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
    // Writing the same object again is harmless, so a lost answer needs no settlement.
    for (int attempt = 0; attempt < appendAttempts; ++attempt) {
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
