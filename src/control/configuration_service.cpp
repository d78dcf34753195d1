#include "control/configuration_service.h"

#include "base/text_difference.h"

#include <algorithm>

namespace daisypass {
namespace {

constexpr duration refreshTimeout = std::chrono::seconds(2);
constexpr int pageSize = 200;
constexpr std::size_t maxDifferenceLines = 100;
// An append can lose a race against a controller's append; each attempt starts over on the newest state.
constexpr int maxAttempts = 8;

const file_reference *findFile(const std::vector<file_reference> &files, std::string_view name)
{
    const auto found = std::find_if(files.begin(), files.end(), [name](const file_reference &file) {
        return file.name == name;
    });
    return found == files.end() ? nullptr : &*found;
}

configuration_applied computeChange(const fleet_state &state, const apply_request &request)
{
    configuration_applied change;
    change.base = request.base;
    change.author = request.author;
    for (const configuration_file &file : request.files) {
        const std::string hash = contentHash(file.text);
        const file_reference *current = findFile(state.files(), file.name);
        if (current == nullptr || current->hash != hash) {
            change.changed.push_back({file.name, hash});
        }
    }
    for (const file_reference &current : state.files()) {
        const bool kept = std::any_of(request.files.begin(), request.files.end(), [&current](const configuration_file &file) {
            return file.name == current.name;
        });
        if (!kept) {
            change.removed.push_back(current.name);
        }
    }
    return change;
}

} // namespace

std::string_view outcomeName(apply_outcome outcome)
{
    switch (outcome) {
    case apply_outcome::Applied:
        return "applied";
    case apply_outcome::Unchanged:
        return "unchanged";
    case apply_outcome::Conflict:
        return "conflict";
    case apply_outcome::Invalid:
        return "invalid";
    case apply_outcome::Refused:
        return "refused";
    case apply_outcome::Unknown:
        break;
    }
    return "unknown";
}

configuration_service::configuration_service(fleet_follower &follower, fleet_log log)
    : m_follower(follower)
    , m_log(std::move(log))
{
}

apply_result configuration_service::apply(const apply_request &request, timestamp now)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    apply_result result;
    if (!parseConfiguration(request.files, result.failures)) {
        result.outcome = apply_outcome::Invalid;
        return result;
    }
    bool mayBeCommitted = false;
    failure reason;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        const std::optional<log_head> head = m_follower.refresh(refreshTimeout, reason) ? m_log.readHead(reason) : std::nullopt;
        if (!head) {
            return {mayBeCommitted ? apply_outcome::Unknown : apply_outcome::Refused, 0, {reason}};
        }
        const std::shared_ptr<const fleet_state> state = m_follower.state();
        if (head->revision != state->revision()) {
            continue;
        }
        if (request.base != state->configurationRevision()) {
            // The configuration may have been changed by an earlier attempt of this same request.
            const std::optional<history_item> next = firstChangeAfter(request.base, reason);
            if (next && next->writeId == request.writeId) {
                return {apply_outcome::Applied, next->revision};
            }
            return conflict(*state, request);
        }
        std::optional<log_record> record = makeRecord(*state, request, now, reason);
        if (!record) {
            const bool storeFailed = reason.code == failure_code::StoreUnavailable || reason.code == failure_code::StoreOverloaded;
            return {storeFailed ? (mayBeCommitted ? apply_outcome::Unknown : apply_outcome::Refused) : apply_outcome::Invalid,
                    state->configurationRevision(),
                    {reason}};
        }
        if (record->changes.empty()) {
            return {apply_outcome::Unchanged, state->configurationRevision()};
        }
        const commit_outcome outcome = m_log.append(*record, *head, reason);
        if (outcome == commit_outcome::Committed) {
            m_follower.pollNow();
            return {apply_outcome::Applied, record->revision};
        }
        mayBeCommitted = mayBeCommitted || outcome == commit_outcome::Unknown;
    }
    return {mayBeCommitted ? apply_outcome::Unknown : apply_outcome::Refused, 0, {reason}};
}

std::optional<log_record> configuration_service::makeRecord(const fleet_state &state, const apply_request &request, timestamp now, failure &reason)
{
    log_record record{state.revision() + 1, request.writeId, now, {}};
    const configuration_applied change = computeChange(state, request);
    if (change.changed.empty() && change.removed.empty()) {
        return record;
    }
    // File bodies are stored before the record that refers to them, so that no reader finds a hash without its body.
    for (const configuration_file &file : request.files) {
        const bool changed = std::any_of(change.changed.begin(), change.changed.end(), [&file](const file_reference &item) {
            return item.name == file.name;
        });
        if (changed && !m_log.putFile(file.text, reason)) {
            return std::nullopt;
        }
        m_follower.cacheFile(file.text);
    }
    record.changes.emplace_back(change);
    fleet_state copy = state;
    const file_source bodies = [this](std::string_view hash) -> std::optional<std::string> {
        std::optional<std::string> cached = m_follower.file(hash);
        failure ignored;
        return cached ? cached : m_log.file(hash, ignored);
    };
    if (!copy.apply(record, bodies, reason)) {
        return std::nullopt;
    }
    return record;
}

apply_result configuration_service::conflict(const fleet_state &state, const apply_request &request)
{
    apply_result result{apply_outcome::Conflict, state.configurationRevision()};
    result.failures.push_back(
        {failure_code::RevisionConflict, std::to_string(request.base), {}, "a change made from revision " + std::to_string(state.configurationRevision())});
    failure ignored;
    const std::optional<std::vector<configuration_file>> inForce = files(ignored);
    if (!inForce) {
        return result;
    }
    std::vector<configuration_file> unmatched = request.files;
    for (const configuration_file &file : *inForce) {
        const auto same = std::find_if(unmatched.begin(), unmatched.end(), [&file](const configuration_file &item) {
            return item.name == file.name;
        });
        result.difference += describeDifference(file.name, file.text, same == unmatched.end() ? std::string_view{} : same->text, maxDifferenceLines);
        if (same != unmatched.end()) {
            unmatched.erase(same);
        }
    }
    for (const configuration_file &file : unmatched) {
        result.difference += describeDifference(file.name, "", file.text, maxDifferenceLines);
    }
    return result;
}

std::optional<history_item> configuration_service::firstChangeAfter(revision_number base, failure &reason)
{
    const std::optional<std::vector<history_item>> items = history(base, reason);
    if (!items || items->empty()) {
        return std::nullopt;
    }
    return items->front();
}

std::optional<apply_result> configuration_service::find(revision_number base, std::string_view writeId, failure &reason)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const std::optional<std::vector<history_item>> items = history(base, reason);
    if (!items) {
        return std::nullopt;
    }
    for (const history_item &item : *items) {
        if (item.writeId == writeId) {
            return apply_result{apply_outcome::Applied, item.revision};
        }
    }
    if (items->empty()) {
        return apply_result{apply_outcome::Refused, base};
    }
    return apply_result{apply_outcome::Conflict, items->back().revision};
}

std::optional<std::vector<history_item>> configuration_service::history(revision_number after, failure &reason)
{
    std::vector<history_item> items;
    for (;;) {
        const std::optional<std::vector<log_record>> page = m_log.readAfter(after, pageSize, reason);
        if (!page) {
            return std::nullopt;
        }
        for (const log_record &record : *page) {
            for (const fleet_change &change : record.changes) {
                if (const configuration_applied *applied = std::get_if<configuration_applied>(&change)) {
                    items.push_back({record.revision, record.at, record.writeId, *applied});
                }
            }
            after = record.revision;
        }
        if (page->size() < static_cast<std::size_t>(pageSize)) {
            return items;
        }
    }
}

std::optional<std::vector<configuration_file>> configuration_service::files(failure &reason)
{
    std::vector<configuration_file> loaded;
    for (const file_reference &reference : m_follower.state()->files()) {
        std::optional<std::string> body = m_follower.file(reference.hash);
        if (!body) {
            body = m_log.file(reference.hash, reason);
        }
        if (!body) {
            return std::nullopt;
        }
        loaded.push_back({reference.name, std::move(*body)});
    }
    return loaded;
}

} // namespace daisypass
