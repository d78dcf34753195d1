#include "ctl/control_client.h"

#include "services/http_answer.h"

#include <map>
#include <utility>

namespace daisypass {
namespace {

using nlohmann::json;

// Attempts of a request whose response was lost; the first retry usually returns the outcome.
constexpr int maxApplyAttempts = 3;
constexpr std::chrono::milliseconds requestTimeout{15'000};

std::optional<reported_outcome> outcomeFromName(const std::string &name)
{
    static const std::map<std::string, reported_outcome> names{{"applied", reported_outcome::Applied},
                                                               {"unchanged", reported_outcome::Unchanged},
                                                               {"conflict", reported_outcome::Conflict},
                                                               {"invalid", reported_outcome::Invalid},
                                                               {"refused", reported_outcome::Refused},
                                                               {"unknown", reported_outcome::Unknown}};
    const auto found = names.find(name);
    return found == names.end() ? std::nullopt : std::optional<reported_outcome>(found->second);
}

std::string formatFailures(const json &body)
{
    std::string lines;
    const auto failures = body.find("failures");
    if (failures != body.end() && failures->is_array()) {
        for (const json &item : *failures) {
            lines += item.is_object() ? stringMember(item, "message") + '\n' : std::string();
        }
    }
    const auto difference = body.find("difference");
    if (difference != body.end() && difference->is_string()) {
        lines += difference->get<std::string>();
    }
    return lines;
}

std::optional<revision_number> revisionIn(const json &object)
{
    const bool present = object.is_object() && object.contains("revision") && object["revision"].is_number_unsigned();
    return present ? std::optional<revision_number>(object["revision"].get<revision_number>()) : std::nullopt;
}

} // namespace

std::string describeLagging(const json &status, revision_number revision)
{
    const auto entries = status.find("entries");
    if (entries == status.end() || !entries->is_array()) {
        return "the status has no list of entries";
    }
    std::string lagging;
    for (const json &entry : *entries) {
        const std::optional<revision_number> current = revisionIn(entry);
        if (current && *current >= revision) {
            continue;
        }
        const std::string name = stringMember(entry, "entry");
        lagging += (lagging.empty() ? "not yet in force on " : ", ") + (name.empty() ? "an unnamed entry" : name);
    }
    return lagging;
}

control_client::control_client(endpoint service, std::string token)
    : m_service(std::move(service))
    , m_token(std::move(token))
    , m_client(http_client_options{})
{
}

http_result control_client::fetch(http_call call)
{
    call.headers.push_back({"Authorization", "Bearer " + m_token});
    call.totalTimeout = requestTimeout;
    return m_client.fetch(std::move(call));
}

std::optional<json> control_client::get(std::string_view path, failure &reason)
{
    http_call call;
    call.url = "http://" + toString(m_service) + "/admin/v1/" + std::string(path);
    const http_result result = fetch(std::move(call));
    if (result.state != send_state::Answered) {
        reason = result.reason;
        return std::nullopt;
    }
    json body = json::parse(result.response.body, nullptr, false);
    if (result.response.status == 401) {
        reason = failure{failure_code::NotPermitted, "token", {}, "the token in the controller's settings"};
        return std::nullopt;
    }
    if (result.response.status != 200 || !body.is_object()) {
        const std::string lines = body.is_object() ? formatFailures(body) : std::string();
        reason = failure{result.response.status == 503 ? failure_code::StoreUnavailable : failure_code::BadAnswer,
                         lines.empty() ? std::to_string(result.response.status) : lines.substr(0, lines.find('\n'))};
        return std::nullopt;
    }
    return body;
}

apply_report control_client::apply(const std::vector<configuration_file> &files, revision_number base, std::string_view author, std::string_view writeId)
{
    json texts = json::object();
    for (const configuration_file &file : files) {
        texts[file.name] = file.text;
    }
    const json body{{"base", base}, {"author", author}, {"write_id", writeId}, {"files", std::move(texts)}};
    const std::string encoded = body.dump(-1, ' ', false, json::error_handler_t::replace);
    bool mayHaveTakenEffect = false;
    apply_report report;
    for (int attempt = 0; attempt < maxApplyAttempts; ++attempt) {
        http_call call;
        call.method = "POST";
        call.url = "http://" + toString(m_service) + "/admin/v1/apply";
        call.headers = {{"Content-Type", "application/json"}};
        call.body = encoded;
        const http_result result = fetch(std::move(call));
        if (result.state != send_state::Answered) {
            mayHaveTakenEffect = mayHaveTakenEffect || result.state == send_state::Sent;
            report = {mayHaveTakenEffect ? reported_outcome::Unknown : reported_outcome::Refused, 0, describe(result.reason) + '\n'};
            continue;
        }
        const json answer = json::parse(result.response.body, nullptr, false);
        const std::optional<reported_outcome> outcome = outcomeFromName(stringMember(answer, "outcome"));
        if (!outcome) {
            // A 4xx response without an outcome means that the request was rejected before it reached the configuration service.
            const bool refused = !mayHaveTakenEffect && result.response.status >= 400 && result.response.status < 500;
            return {refused ? reported_outcome::Refused : reported_outcome::Unknown, 0, answer.is_object() ? formatFailures(answer) : std::string()};
        }
        report = {*outcome, revisionIn(answer).value_or(0), formatFailures(answer)};
        if (*outcome == reported_outcome::Refused && mayHaveTakenEffect) {
            report.outcome = reported_outcome::Unknown;
        }
        mayHaveTakenEffect = mayHaveTakenEffect || *outcome == reported_outcome::Unknown;
        if (report.outcome != reported_outcome::Unknown) {
            return report;
        }
    }
    return report;
}

} // namespace daisypass
