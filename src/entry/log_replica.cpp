#include "entry/log_replica.h"

#include "services/object_store.h"

#include <algorithm>
#include <set>

namespace daisypass {

log_replica::log_replica(replica_limits limits)
    : m_limits(limits)
    , m_state(std::make_shared<fleet_state>())
{
}

void log_replica::addListener(listener callback)
{
    m_listeners.push_back(std::move(callback));
}

std::shared_ptr<const fleet_state> log_replica::state() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_state;
}

bool log_replica::applyRecords(std::span<const log_record> records, failure &reason)
{
    const std::lock_guard<std::mutex> applyGuard(m_applyLock);
    const std::shared_ptr<const fleet_state> before = state();
    while (!records.empty() && records.front().revision <= before->revision()) {
        records = records.subspan(1);
    }
    if (records.empty()) {
        return true;
    }
    const file_source files = [this](std::string_view hash) {
        return file(hash);
    };
    // One copy for the whole batch; readers keep using the old state, which never changes.
    const std::shared_ptr<fleet_state> after = std::make_shared<fleet_state>(*before);
    std::size_t applied = 0;
    while (applied < records.size() && after->apply(records[applied], files, reason)) {
        ++applied;
    }
    if (applied > 0) {
        publish(after, records.first(applied));
    }
    return applied == records.size();
}

void log_replica::installSnapshot(fleet_state snapshot)
{
    const std::lock_guard<std::mutex> applyGuard(m_applyLock);
    if (snapshot.revision() > state()->revision()) {
        publish(std::make_shared<const fleet_state>(std::move(snapshot)), {});
    }
}

void log_replica::publish(const std::shared_ptr<const fleet_state> &state, std::span<const log_record> applied)
{
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        if (applied.empty()) {
            m_records.clear();
            m_recordBytes = 0;
        }
        for (const log_record &record : applied) {
            m_records.push_back({record.revision, encodeRecord(record)});
            m_recordBytes += m_records.back().text.size();
        }
        while (!m_records.empty() && (m_records.size() > m_limits.records || m_recordBytes > m_limits.recordBytes)) {
            m_recordBytes -= m_records.front().text.size();
            m_records.pop_front();
        }
        m_state = state;
        evictFiles(*state);
    }
    for (const listener &callback : m_listeners) {
        callback(state);
    }
}

log_page log_replica::page(revision_number after, int limit) const
{
    std::unique_lock<std::mutex> guard(m_lock);
    log_page page;
    if (after >= m_state->revision() || limit <= 0) {
        return page;
    }
    const revision_number first = m_records.empty() ? m_state->revision() + 1 : m_records.front().revision;
    if (after + 1 >= first) {
        std::size_t bytes = 0;
        for (std::size_t index = after + 1 - first; index < m_records.size() && page.records.size() < static_cast<std::size_t>(limit); ++index) {
            bytes += m_records[index].text.size();
            if (bytes > m_limits.pageBytes && !page.records.empty()) {
                break;
            }
            page.records.push_back(m_records[index].text);
        }
        return page;
    }
    if (m_snapshot.revision + 1 < first || m_snapshot.revision <= after) {
        // Encoding the state of a large fleet is slow, so it is done without the lock.
        const std::shared_ptr<const fleet_state> state = m_state;
        guard.unlock();
        std::string text = state->encode();
        guard.lock();
        if (state->revision() > m_snapshot.revision) {
            m_snapshot = {state->revision(), std::move(text)};
        }
    }
    page.snapshot = m_snapshot.text;
    return page;
}

std::optional<std::string> log_replica::file(std::string_view hash) const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto found = m_files.find(hash);
    if (found == m_files.end()) {
        return std::nullopt;
    }
    return found->second.text;
}

void log_replica::cacheFile(std::string_view text)
{
    const std::string hash = contentHash(text);
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto added = m_files.try_emplace(hash, cached_file{std::string(text)});
    added.first->second.sequence = ++m_fileSequence;
    m_fileBytes += added.second ? text.size() : 0;
}

std::vector<std::string> log_replica::missingFiles(std::span<const log_record> records) const
{
    std::vector<std::string> missing;
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto addMissing = [&](const std::vector<file_reference> &files) {
        for (const file_reference &file : files) {
            if (!m_files.contains(file.hash)) {
                missing.push_back(file.hash);
            }
        }
    };
    bool configured = records.empty();
    for (const log_record &record : records) {
        for (const fleet_change &change : record.changes) {
            if (const configuration_applied *applied = std::get_if<configuration_applied>(&change)) {
                addMissing(applied->changed);
                configured = true;
            }
        }
    }
    // Applying a configuration reads all of its files, including unchanged ones.
    if (configured) {
        addMissing(m_state->files());
    }
    return missing;
}

void log_replica::evictFiles(const fleet_state &state)
{
    if (m_fileBytes <= m_limits.fileBytes) {
        return;
    }
    std::set<std::string_view> current;
    for (const file_reference &file : state.files()) {
        current.insert(file.hash);
    }
    std::vector<std::pair<std::uint64_t, std::string>> evictable;
    for (const std::pair<const std::string, cached_file> &file : m_files) {
        if (!current.contains(file.first)) {
            evictable.emplace_back(file.second.sequence, file.first);
        }
    }
    std::sort(evictable.begin(), evictable.end());
    for (const std::pair<std::uint64_t, std::string> &candidate : evictable) {
        if (m_fileBytes <= m_limits.fileBytes) {
            return;
        }
        const auto found = m_files.find(candidate.second);
        m_fileBytes -= found->second.text.size();
        m_files.erase(found);
    }
}

} // namespace daisypass
