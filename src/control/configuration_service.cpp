#include "control/configuration_service.h"

#include "base/text_difference.h"

#include <algorithm>

namespace daisypass {
namespace {

constexpr duration refreshLimit = std::chrono::seconds(2);
constexpr int pageSize = 200;
constexpr std::size_t differenceLines = 100;
// Appends race with controllers; each attempt is decided anew on the newest state.
constexpr int maxAttempts = 8;

const file_reference *findFile(const std::vector<file_reference> &files, std::string_view name)
{
    const auto found = std::find_if(files.begin(), files.end(), [name](const file_reference &file) {
        return file.name == name;
    });
    return found == files.end() ? nullptr : &*found;
}

configuration_applied changeFor(const fleet_state &state, const apply_request &request)
{
    configuration_applied change;
    change.base = request.base;
    change.author = request.author;
    for (const configuration_file &file : request.files) {
        const std::string hash = contentHash(file.text);
        const file_reference *known = findFile(state.files(), file.name);
        if (known == nullptr || known->hash != hash) {
            change.changed.push_back({file.name, hash});
        }
    }
    for (const file_reference &known : state.files()) {
        const bool kept = std::any_of(request.files.begin(), request.files.end(), [&known](const configuration_file &file) {
            return file.name == known.name;
        });
        if (!kept) {
            change.removed.push_back(known.name);
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
    bool sent = false;
    failure reason;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        const std::optional<log_head> head = m_follower.refresh(refreshLimit, reason) ? m_log.readHead(reason) : std::nullopt;
        if (!head) {
            return {sent ? apply_outcome::Unknown : apply_outcome::Refused, 0, {reason}};
        }
        const std::shared_ptr<const fleet_state> state = m_follower.state();
        if (head->revision != state->revision()) {
            continue;
        }
        if (request.base != state->configurationRevision()) {
            // An earlier attempt of this very request may be what changed the configuration.
            const std::optional<history_item> next = firstAfter(request.base, reason);
            if (next && next->writeId == request.writeId) {
                return {apply_outcome::Applied, next->revision};
            }
            return conflict(*state, request);
        }
        std::optional<log_record> record = makeRecord(*state, request, now, reason);
        if (!record) {
            const bool store = reason.code == failure_code::StoreUnavailable || reason.code == failure_code::StoreOverloaded;
            return {store ? (sent ? apply_outcome::Unknown : apply_outcome::Refused) : apply_outcome::Invalid, state->configurationRevision(), {reason}};
        }
        if (record->changes.empty()) {
            return {apply_outcome::Unchanged, state->configurationRevision()};
        }
        const commit_outcome outcome = m_log.append(*record, *head, reason);
        if (outcome == commit_outcome::Committed) {
            m_follower.pollNow();
            return {apply_outcome::Applied, record->revision};
        }
        sent = sent || outcome == commit_outcome::Unknown;
    }
    return {sent ? apply_outcome::Unknown : apply_outcome::Refused, 0, {reason}};
}

std::optional<log_record> configuration_service::makeRecord(const fleet_state &state, const apply_request &request, timestamp now, failure &reason)
{
    log_record record{state.revision() + 1, request.writeId, now, {}};
    const configuration_applied change = changeFor(state, request);
    if (change.changed.empty() && change.removed.empty()) {
        return record;
    }
    // Bodies are stored before the change that names them, so that no reader finds a hash without a body.
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
        std::optional<std::string> held = m_follower.file(hash);
        failure ignored;
        return held ? held : m_log.file(hash, ignored);
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
    std::vector<configuration_file> sent = request.files;
    for (const configuration_file &file : *inForce) {
        const auto same = std::find_if(sent.begin(), sent.end(), [&file](const configuration_file &item) {
            return item.name == file.name;
        });
        result.difference += describeDifference(file.name, file.text, same == sent.end() ? std::string_view{} : same->text, differenceLines);
        if (same != sent.end()) {
            sent.erase(same);
        }
    }
    for (const configuration_file &file : sent) {
        result.difference += describeDifference(file.name, "", file.text, differenceLines);
    }
    return result;
}

std::optional<history_item> configuration_service::firstAfter(revision_number base, failure &reason)
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
