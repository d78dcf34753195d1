#include "entry/fate_lookup.h"

#include "entry/request_id.h"

#include <nlohmann/json.hpp>

namespace daisypass {
namespace {

constexpr duration retryInterval{200'000};

constexpr std::pair<peer_fate, request_fate> fatePairs[] = {{peer_fate::Unknown, request_fate::Unknown},
                                                            {peer_fate::Pending, request_fate::Pending},
                                                            {peer_fate::Running, request_fate::Running},
                                                            {peer_fate::Completed, request_fate::Completed},
                                                            {peer_fate::Failed, request_fate::Failed},
                                                            {peer_fate::NotRun, request_fate::NotRun},
                                                            {peer_fate::Expired, request_fate::Expired}};

request_outcome unknownOutcome(std::string_view reason, std::string_view detail)
{
    request_outcome outcome;
    outcome.reason = reason;
    outcome.detail = detail;
    return outcome;
}

std::optional<request_fate> fateByName(const std::string &name)
{
    for (const std::pair<peer_fate, request_fate> &pair : fatePairs) {
        if (fateName(pair.second) == name) {
            return pair.second;
        }
    }
    return std::nullopt;
}

} // namespace

request_outcome toOutcome(fate_answer answer)
{
    request_outcome outcome;
    for (const std::pair<peer_fate, request_fate> &pair : fatePairs) {
        if (pair.first == answer.fate) {
            outcome.fate = pair.second;
        }
    }
    outcome.reason = std::move(answer.reason);
    if (outcome.fate == request_fate::Completed) {
        outcome.response.status = answer.status;
        outcome.response.body = std::move(answer.body);
        for (peer_header &header : answer.headers) {
            outcome.response.headers.push_back({std::move(header.name), std::move(header.value)});
        }
    }
    return outcome;
}

fate_answer toFateAnswer(request_outcome outcome)
{
    fate_answer answer;
    for (const std::pair<peer_fate, request_fate> &pair : fatePairs) {
        if (pair.second == outcome.fate) {
            answer.fate = pair.first;
        }
    }
    answer.reason = std::move(outcome.reason);
    if (outcome.fate == request_fate::Completed) {
        answer.status = outcome.response.status;
        answer.body = std::move(outcome.response.body);
        for (http_header &header : outcome.response.headers) {
            answer.headers.push_back({std::move(header.name), std::move(header.value)});
        }
    }
    return answer;
}

fate_lookup::fate_lookup(object_store objects, ask_function ask)
    : m_objects(std::move(objects))
    , m_ask(std::move(ask))
{
}

void fate_lookup::stop()
{
    m_timers.stop();
    m_reads.stop();
}

void fate_lookup::find(fate_query query, callback done)
{
    if (!m_ask) {
        readSavedOutcome(std::move(query), std::move(done));
        return;
    }
    const incarnation_number incarnation = query.incarnation;
    const std::string id = query.id;
    m_ask(incarnation, id, [this, query = std::move(query), done = std::move(done)](std::optional<fate_answer> answer, const failure &reason) {
        handleAnswer(query, done, std::move(answer), reason);
    });
}

void fate_lookup::handleAnswer(fate_query query, callback done, std::optional<fate_answer> answer, const failure &reason)
{
    if (answer) {
        request_outcome outcome = toOutcome(*std::move(answer));
        if (outcome.isFinal() || !query.waitUntilFinal) {
            done(std::move(outcome));
        } else {
            scheduleRetry(std::move(query), std::move(done), std::move(outcome));
        }
    } else if (reason.code == failure_code::WrongIncarnation) {
        readSavedOutcome(std::move(query), std::move(done));
    } else {
        scheduleRetry(std::move(query), std::move(done), unknownOutcome("peer_unreachable", "the entry that accepted the request does not answer"));
    }
}

void fate_lookup::readSavedOutcome(fate_query query, callback done)
{
    m_reads.post([this, query = std::move(query), done = std::move(done)] {
        failure reason;
        const std::optional<std::string> object = m_objects.get(fatesObjectName(query.incarnation), reason);
        if (object) {
            done(decodeFate(*object, query.id).value_or(unknownOutcome("not_recorded", "the entry that accepted the request left no record of it")));
        } else if (reason.code == failure_code::NotFound) {
            done(unknownOutcome("entry_gone", "the entry that accepted the request is gone"));
        } else {
            scheduleRetry(query, done, unknownOutcome("store_unavailable", "the entry that accepted the request is gone and the store does not answer"));
        }
    });
}

void fate_lookup::scheduleRetry(fate_query query, callback done, request_outcome lastKnown)
{
    const timestamp next = steadyNow() + retryInterval;
    if (next >= query.deadline) {
        // No further retry fits before the deadline, so the last known outcome is reported: at the deadline if a final one was waited for, else now.
        m_timers.postAt(query.waitUntilFinal ? query.deadline : timestamp{}, [done = std::move(done), lastKnown = std::move(lastKnown)] {
            done(lastKnown);
        });
        return;
    }
    m_timers.postAt(next, [this, query = std::move(query), done = std::move(done)] {
        find(query, done);
    });
}

std::string fatesObjectName(incarnation_number incarnation)
{
    return "fates/" + formatIncarnation(incarnation);
}

std::string encodeFates(std::span<const std::pair<std::string, request_outcome>> outcomes, std::size_t maxResponseBytes)
{
    nlohmann::json all = nlohmann::json::object();
    std::size_t responseBytes = 0;
    for (auto entry = outcomes.rbegin(); entry != outcomes.rend(); ++entry) {
        const request_outcome &outcome = entry->second;
        nlohmann::json encoded{{"fate", fateName(outcome.fate)}, {"reason", outcome.reason}};
        if (outcome.fate == request_fate::Completed) {
            responseBytes += outcome.response.body.size();
            if (responseBytes > maxResponseBytes) {
                encoded = {{"fate", fateName(request_fate::Expired)}, {"reason", "answer_dropped"}};
            } else {
                encoded["status"] = outcome.response.status;
                encoded["body"] = nlohmann::json::binary({outcome.response.body.begin(), outcome.response.body.end()});
                for (const http_header &header : outcome.response.headers) {
                    encoded["headers"].push_back({header.name, nlohmann::json::binary({header.value.begin(), header.value.end()})});
                }
            }
        }
        all[entry->first] = std::move(encoded);
    }
    std::string object;
    nlohmann::json::to_cbor(all, object);
    return object;
}

std::optional<request_outcome> decodeFate(std::string_view object, std::string_view id)
{
    try {
        const nlohmann::json all = nlohmann::json::from_cbor(object);
        const auto found = all.find(std::string(id));
        if (found == all.end()) {
            return std::nullopt;
        }
        request_outcome outcome;
        outcome.fate = fateByName(found->at("fate").get<std::string>()).value_or(request_fate::Unknown);
        outcome.reason = found->at("reason").get<std::string>();
        if (outcome.fate == request_fate::Completed) {
            outcome.response.status = found->at("status").get<int>();
            const nlohmann::json::binary_t &body = found->at("body").get_binary();
            outcome.response.body.assign(body.begin(), body.end());
            for (const nlohmann::json &header : found->value("headers", nlohmann::json::array())) {
                const nlohmann::json::binary_t &value = header.at(1).get_binary();
                outcome.response.headers.push_back({header.at(0).get<std::string>(), std::string(value.begin(), value.end())});
            }
        }
        return outcome;
    } catch (const nlohmann::json::exception &) {
        // The object is corrupt, so its requests count as not recorded.
        return std::nullopt;
    }
}

} // namespace daisypass
