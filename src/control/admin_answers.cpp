#include "control/admin_answers.h"

#include "kernel/configuration_keys.h"

namespace daisypass {
namespace {

using nlohmann::json;

http_response answerJson(int status, const json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump(2, ' ', false, json::error_handler_t::replace) + '\n'};
}

int httpStatus(apply_outcome outcome)
{
    switch (outcome) {
    case apply_outcome::Applied:
    case apply_outcome::Unchanged:
        return 200;
    case apply_outcome::Conflict:
        return 409;
    case apply_outcome::Invalid:
        return 422;
    case apply_outcome::Refused:
        return 503;
    case apply_outcome::Unknown:
        break;
    }
    return 502;
}

json encodeEntries(const control_status &status)
{
    json entries = json::array();
    for (const std::pair<const std::string, entry_record> &entry : status.state->entries()) {
        json item{{"entry", entry.first}, {"incarnation", entry.second.incarnation}, {"availability_zone", entry.second.availabilityZone}};
        const auto observation = status.input.entries.find(entry.first);
        const bool isCurrent
            = observation != status.input.entries.end() && observation->second.answeredAt && observation->second.incarnation == entry.second.incarnation;
        item["revision"] = isCurrent ? json(observation->second.revision) : json(nullptr);
        item["last_answer_ms_ago"] = isCurrent ? json((status.input.now - *observation->second.answeredAt).count() / 1'000) : json(nullptr);
        entries.push_back(std::move(item));
    }
    return entries;
}

json encodePools(const fleet_state &state)
{
    json pools = json::array();
    for (const std::pair<const std::string, pool_config> &pool : state.config().pools) {
        const int serving = state.serving(pool.first);
        const int loss = state.largestLoss(pool.first);
        pools.push_back({{"pool", pool.first},
                         {"serving", serving},
                         {"unavailable", state.unavailable(pool.first)},
                         {"min_available", pool.second.minAvailable},
                         {"largest_loss", loss},
                         {"within_budget", serving >= pool.second.minAvailable},
                         {"within_headroom", serving - loss >= pool.second.minAvailable}});
    }
    return pools;
}

json encodeVms(const control_loop &loop, const control_status &status)
{
    static constexpr std::string_view causes[] = {"maintenance", "move", "removal"};
    json vms = json::array();
    for (const std::pair<const std::string, vm_record> &item : status.state->vms()) {
        const vm_record &vm = item.second;
        json encoded{{"vm", vm.id},
                     {"pool", vm.pool},
                     {"state", fleet_state::stateName(vm.state)},
                     {"epoch", vm.epoch},
                     {"maintained_at_s", vm.maintainedAt.count() / 1'000'000}};
        if (vm.state == vm_state::Draining || vm.state == vm_state::Stopped) {
            encoded["cause"] = causes[static_cast<std::size_t>(vm.cause)];
            encoded["detail"] = vm.detail;
            encoded["waits_for"] = loop.waitsFor(status, vm.id);
        }
        if (vm.state != vm_state::Serving) {
            encoded["since_s"] = (status.input.now - vm.changedAt).count() / 1'000'000;
        }
        vms.push_back(std::move(encoded));
    }
    return vms;
}

json encodeWaves(const control_status &status)
{
    json waves = json::array();
    for (const wave_forecast &forecast : forecastWaves(*status.state, status.input.now)) {
        waves.push_back({{"wave", forecast.wave},
                         {"vms", forecast.vms},
                         {"due", forecast.due},
                         {"overdue", forecast.overdue},
                         {"late", forecast.predictedOverdue},
                         {"finishes_at_s", forecast.finishesAt.count() / 1'000'000},
                         {"on_time", forecast.predictedOverdue == 0 && forecast.overdue == 0}});
    }
    return waves;
}

std::string stringOr(const json &object, const char *key, const char *fallback)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string(fallback);
}

} // namespace

json encodeFailure(const failure &reason)
{
    json encoded{{"code", codeName(reason.code)}, {"argument", reason.argument}, {"expected", reason.expected}, {"message", describe(reason)}};
    if (!reason.where.file.empty()) {
        encoded["file"] = reason.where.file;
        encoded["line"] = reason.where.line;
        encoded["column"] = reason.where.column;
    }
    return encoded;
}

std::optional<apply_request> decodeApply(std::string_view body, failure &reason)
{
    const json parsed = json::parse(body, nullptr, false);
    if (parsed.is_discarded() || !parsed.is_object()) {
        reason = failure{failure_code::SyntaxError, "body", {}, "a JSON object with base, files, author and write_id"};
        return std::nullopt;
    }
    apply_request request;
    request.author = stringOr(parsed, "author", "");
    request.writeId = stringOr(parsed, "write_id", "");
    if (request.author.empty() || request.writeId.empty()) {
        reason = failure{failure_code::MissingKey, request.author.empty() ? "author" : "write_id", {}, "a non-empty string"};
        return std::nullopt;
    }
    if (!parsed.contains("base") || !parsed["base"].is_number_unsigned()) {
        reason = failure{failure_code::MissingKey, "base", {}, "the revision that the files were made from, 0 for the first"};
        return std::nullopt;
    }
    request.base = parsed["base"].get<revision_number>();
    const auto files = parsed.find("files");
    if (files == parsed.end() || !files->is_object() || files->empty()) {
        reason = failure{failure_code::MissingKey, "files", {}, "an object of file names and texts"};
        return std::nullopt;
    }
    for (auto file = files->begin(); file != files->end(); ++file) {
        if (!file->is_string()) {
            reason = failure{failure_code::WrongType, file.key(), {}, "the text of the file"};
            return std::nullopt;
        }
        request.files.push_back({file.key(), file->get<std::string>()});
    }
    return request;
}

http_response answerApply(const apply_result &result)
{
    json body{{"outcome", outcomeName(result.outcome)}, {"revision", result.revision}, {"failures", json::array()}, {"difference", result.difference}};
    for (const failure &reason : result.failures) {
        body["failures"].push_back(encodeFailure(reason));
    }
    return answerJson(httpStatus(result.outcome), body);
}

http_response answerStatus(const control_loop &loop)
{
    loop.onStatusRequested();
    const control_status status = loop.status();
    const fleet_state &state = *status.state;
    return answerJson(200,
                      {{"revision", state.revision()},
                       {"configuration_revision", state.configurationRevision()},
                       {"holds_lease", status.holdsLease},
                       {"store_answers", status.input.storeReachable},
                       {"planning_blocked_by", status.planningBlockedBy},
                       {"entries", encodeEntries(status)},
                       {"pools", encodePools(state)},
                       {"vms", encodeVms(loop, status)},
                       {"waves", encodeWaves(status)}});
}

http_response answerHistory(const std::vector<history_item> &items)
{
    json list = json::array();
    for (const history_item &item : items) {
        json changed = json::array();
        for (const file_reference &file : item.change.changed) {
            changed.push_back(file.name);
        }
        list.push_back({{"revision", item.revision},
                        {"base", item.change.base},
                        {"at_s", item.at.count() / 1'000'000},
                        {"author", item.change.author},
                        {"write_id", item.writeId},
                        {"changed", std::move(changed)},
                        {"removed", item.change.removed}});
    }
    return answerJson(200, {{"history", std::move(list)}});
}

http_response answerFiles(const std::vector<configuration_file> &files, revision_number revision)
{
    json texts = json::object();
    for (const configuration_file &file : files) {
        texts[file.name] = file.text;
    }
    return answerJson(200, {{"configuration_revision", revision}, {"files", std::move(texts)}});
}

http_response answerExplain()
{
    json keys = json::array();
    for (const configuration_key &key : configurationKeys()) {
        keys.push_back({{"section", key.section},
                        {"key", key.name},
                        {"unit", key.unit},
                        {"range", describeRange(key)},
                        {"default", key.fallback.empty() ? json(nullptr) : json(key.fallback)},
                        {"reason", key.reason}});
    }
    return answerJson(200, {{"keys", std::move(keys)}});
}

http_response answerFailure(int status, const failure &reason)
{
    return answerJson(status, {{"failures", json::array({encodeFailure(reason)})}});
}

} // namespace daisypass
