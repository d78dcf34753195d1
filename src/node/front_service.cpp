#include "node/front_service.h"

#include "base/clock.h"
#include "base/log.h"
#include "http/http_answers.h"
#include "node/queue_counts.h"
#include "node/tables.h"
#include "platform/records.h"
#include "sched/job_state.h"

#include <algorithm>
#include <map>
#include <span>

namespace daisypass {
namespace {

constexpr std::chrono::milliseconds readTimeout{900};
// Deadline of requests without the deadline header.
constexpr sched::time_ms defaultDeadlineMs = 3'000;
// Part of the deadline that is kept for the answer's way back to the caller.
constexpr sched::time_ms answerMarginMs = 150;
// A write is tried on this node for this long before the request is forwarded to another one.
constexpr sched::time_ms localWriteTimeoutMs = 1'400;
constexpr std::size_t idLength = 16;
// After a failed call to the store, requests are forwarded for this long, or until a call succeeds.
constexpr sched::time_ms storeFailureWindowMs = 1'000;

http_response refusal(int status, int retryAfterSeconds)
{
    http_response response = emptyResponse(status);
    response.headers.push_back({"Retry-After", std::to_string(retryAfterSeconds)});
    return response;
}

front_answer finalAnswer(http_response response)
{
    return {std::move(response), answer_scope::Final};
}

front_answer storeUnavailable()
{
    return {refusal(statusUnavailable, 1), answer_scope::StoreUnavailable};
}

front_answer nodeUnavailable()
{
    return {refusal(statusUnavailable, 1), answer_scope::NodeUnavailable};
}

// The range ends right after the key of a job, so it contains this one row only.
row_range onlyRow(const row_key &key)
{
    return {key.table, key.part, key.key, key.key + '!'};
}

// The write may have been stored.
front_answer outcomeUnknown()
{
    return {emptyResponse(statusGatewayTimeout), answer_scope::StoreUnavailable};
}

// Whether the answer says that nothing was done. A caller must not get it after a write of this node with unknown outcome.
bool isRefusal(int status)
{
    return status / 100 != 2 && status != statusGone;
}

std::string_view withoutPort(std::string_view host)
{
    return host.substr(0, host.rfind(':'));
}

sched::time_ms deadlineOf(const http_request &request)
{
    const std::int64_t waitMs = findNumber(request.headers, deadlineHeader);
    return steadyMillis() + (waitMs > 0 ? waitMs : defaultDeadlineMs) - answerMarginMs;
}

// The rows with counts in the order of their numbers, up to the first one that is missing.
std::vector<std::string> countRowsIn(std::span<const store_row> rows)
{
    std::map<row_key, std::string> byKey;
    for (const store_row &row : rows) {
        byKey[row.key] = row.value;
    }
    std::vector<std::string> ordered;
    for (auto row = byKey.find(tables::countsRow()); row != byKey.end(); row = byKey.find(tables::countsRow(ordered.size()))) {
        ordered.push_back(row->second);
    }
    return ordered;
}

// If the request may be forwarded, the write's deadline is early enough to leave time for it.
sched::time_ms writeDeadline(const http_request &request, bool mayForward)
{
    const sched::time_ms deadline = deadlineOf(request);
    return mayForward ? std::min(deadline, steadyMillis() + localWriteTimeoutMs) : deadline;
}

} // namespace

std::optional<queue_match> matchQueue(const sched::configuration_view &view, std::string_view host, std::string_view path)
{
    const sched::queue_config *best = nullptr;
    for (const sched::queue_config &queue : view.queues) {
        const bool matches = withoutPort(host) == queue.key.host && path.starts_with(queue.key.prefix);
        if (matches && (best == nullptr || queue.key.prefix.size() > best->key.prefix.size())) {
            best = &queue;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return queue_match{*best, std::string(path.substr(best->key.prefix.size()))};
}

bool isJobId(std::string_view text)
{
    return text.size() == idLength && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
           });
}

front_service::front_service(
    store_client &store, std::shared_ptr<submission_writer> writer, metrics_registry &metrics, request_forwarder forward, stored_row_listener onRowStored)
    : m_store(store)
    , m_writer(std::move(writer))
    , m_metrics(metrics)
    , m_forward(std::move(forward))
    , m_onRowStored(std::move(onRowStored))
{
}

void front_service::recordStoreResult(bool reached)
{
    m_storeFailedAt = reached ? 0 : steadyMillis();
}

void front_service::recordConfigurationVersion(const http_response &forwardedAnswer)
{
    const std::int64_t version = findNumber(forwardedAnswer.headers, configurationHeader);
    std::int64_t known = m_highestAnsweredVersion;
    while (version > known && !m_highestAnsweredVersion.compare_exchange_weak(known, version)) {
    }
}

bool front_service::storeRecentlyFailed() const
{
    const sched::time_ms failedAt = m_storeFailedAt;
    return failedAt != 0 && steadyMillis() - failedAt < storeFailureWindowMs;
}

front_responder front_service::withForwarding(http_request request, http_responder respond)
{
    return [this, request = std::move(request), respond = std::move(respond)](front_answer answer) {
        if (answer.scope == answer_scope::Final) {
            respond(std::move(answer.response));
            return;
        }
        if (answer.scope == answer_scope::StoreUnavailable) {
            recordStoreResult(false);
        }
        m_forward(request, [this, respond, localAnswer = std::move(answer.response)](const http_response &forwardedAnswer) {
            recordConfigurationVersion(forwardedAnswer);
            const bool localOutcomeUnknown = localAnswer.status == statusGatewayTimeout;
            const bool keepsLocal = forwardedAnswer.status == 0 || (localOutcomeUnknown && isRefusal(forwardedAnswer.status));
            respond(keepsLocal ? localAnswer : forwardedAnswer);
        });
    };
}

void front_service::configure(std::shared_ptr<const sched::configuration_view> view)
{
    tenant_keys keys(view->tenants);
    const std::shared_ptr<const served_configuration> served
        = std::make_shared<const served_configuration>(served_configuration{std::move(view), std::move(keys)});
    const std::lock_guard<std::mutex> guard(m_lock);
    m_configuration = served;
}

void front_service::useKeys(const key_rules &rules, std::shared_ptr<const key_lease> lease)
{
    m_keysAlwaysRequired = rules.alwaysRequired;
    m_keyLease = std::move(lease);
}

void front_service::beginDrain()
{
    m_draining = true;
}

void front_service::handle(http_request request, http_responder respond)
{
    serve(std::move(request), std::move(respond), true);
}

void front_service::handleForwarded(http_request request, http_responder respond)
{
    serve(std::move(request), std::move(respond), false);
}

void front_service::serve(http_request request, http_responder respond, bool mayForward)
{
    ++m_inFlight;
    const sched::time_ms startedAt = steadyMillis();
    const std::string method = request.method;
    http_responder instrumented = [this, respond = std::move(respond), startedAt, method](http_response response) {
        response.closeConnection = m_draining;
        m_metrics.findCounter("daisypass_requests_total", {{"method", method}, {"status", std::to_string(response.status)}}).add();
        m_metrics.findHistogram("daisypass_request_seconds", {{"method", method}}).record(static_cast<double>(steadyMillis() - startedAt) / 1'000.0);
        respond(std::move(response));
        --m_inFlight;
    };
    // Before the configuration is taken: it is then at least as new as the one that the lease confirms.
    const sched::time_ms checkedAt = steadyMillis();
    const key_knowledge knowledge{m_keyLease->mayAdmit(checkedAt), m_keyLease->mayRefuse(checkedAt)};
    std::shared_ptr<const served_configuration> configuration;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        configuration = m_configuration;
    }
    const std::int64_t version = configuration ? configuration->view->version : 0;
    front_responder answer;
    std::int64_t requiredVersion = 0;
    if (mayForward) {
        requiredVersion = m_highestAnsweredVersion;
        request.headers.push_back({std::string(configurationHeader), std::to_string(std::max(version, requiredVersion))});
        answer = withForwarding(request, std::move(instrumented));
    } else {
        // A caller must never see an older configuration after a newer one. So this node refuses if its configuration is older than the
        // sender's, and returns its version, which the sender uses as the minimum for later answers.
        requiredVersion = findNumber(request.headers, configurationHeader);
        answer = [inner = std::move(instrumented), version](front_answer local) {
            local.response.headers.push_back({std::string(configurationHeader), std::to_string(version)});
            inner(std::move(local.response));
        };
    }
    if (storeRecentlyFailed() || version < requiredVersion) {
        answer(nodeUnavailable());
        return;
    }
    if (!configuration) {
        logEvent("request_refused", {{"path", request.path}, {"reason", "no_configuration"}});
        answer(nodeUnavailable());
        return;
    }
    admit(request, std::move(configuration), knowledge, mayForward, answer);
}

void front_service::admit(const http_request &request,
                          std::shared_ptr<const served_configuration> configuration,
                          const key_knowledge &knowledge,
                          bool mayForward,
                          const front_responder &respond)
{
    const sched::configuration_view &view = *configuration->view;
    std::optional<queue_match> match = matchQueue(view, findHeader(request.headers, "Host"), request.path);
    if (!match) {
        logEvent("request_refused", {{"path", request.path}, {"reason", "no_such_queue"}, {"configuration_version", view.version}});
        respond(finalAnswer(emptyResponse(statusNotFound)));
        return;
    }
    key_decision decision = decideOnCall(request, *configuration, match->queue, knowledge);
    if (decision.verdict != key_verdict::Admitted) {
        respond(refuseForKey(request, decision.verdict));
        return;
    }
    serveAdmitted(request, {std::move(configuration), std::move(*match), std::move(decision.tenant), mayForward}, respond);
}

key_decision front_service::decideOnCall(const http_request &request,
                                         const served_configuration &configuration,
                                         const sched::queue_config &queue,
                                         const key_knowledge &knowledge) const
{
    const bool keysRequired = m_keysAlwaysRequired || !configuration.view->tenants.empty();
    return decideOnKey(queue, keysRequired, configuration.keys, readKey(findHeader(request.headers, keyHeader)), knowledge);
}

// The key itself must not be logged.
front_answer front_service::refuseForKey(const http_request &request, key_verdict verdict)
{
    const std::string_view reason = reasonOf(verdict);
    m_metrics.findCounter("daisypass_keys_refused_total", {{"reason", std::string(reason)}}).add();
    const std::optional<sched::time_ms> ageMs = m_keyLease->age(steadyMillis());
    logEvent("request_refused", {{"path", request.path}, {"reason", reason}, {"configuration_age_ms", ageMs.value_or(-1)}});
    return verdict == key_verdict::NotFresh ? nodeUnavailable() : finalAnswer(unauthorizedResponse());
}

void front_service::serveAdmitted(const http_request &request, const admitted_call &call, front_responder respond)
{
    const std::string &job = call.match.pathSuffix;
    if (job.empty() && request.method == "GET") {
        answerWaitingCount(call.match.queue.key, std::move(respond));
        return;
    }
    if (!isJobId(job)) {
        respond(finalAnswer(emptyResponse(statusBadRequest)));
        return;
    }
    if (request.method == "POST") {
        const std::int64_t maxBodyBytes = call.configuration->view->maxBodyBytes;
        const bool tooLarge = maxBodyBytes > 0 && static_cast<std::int64_t>(request.body.size()) > maxBodyBytes;
        if (tooLarge) {
            respond(finalAnswer(emptyResponse(statusTooLarge)));
            return;
        }
        submit(request, call, std::move(respond));
    } else if (request.method == "GET") {
        answerJobState(job, std::move(respond));
    } else if (request.method == "DELETE") {
        cancel(call, writeDeadline(request, call.mayForward), std::move(respond));
    } else {
        respond(finalAnswer(emptyResponse(statusMethodNotAllowed)));
    }
}

void front_service::submit(const http_request &request, const admitted_call &call, front_responder respond)
{
    const queue_match &match = call.match;
    failure reason;
    std::optional<sched::job_spec> job = readSubmission(request.body, reason);
    if (!job) {
        logEvent("submission_malformed", {{"request", match.pathSuffix}, {"reason", describe(reason)}});
        respond(finalAnswer(emptyResponse(statusBadRequest)));
        return;
    }
    job->id = match.pathSuffix;
    job->queue = match.queue.key;
    job->pool = match.queue.pool;
    job->tenant = call.tenant;
    job->terms = static_cast<const sched::queue_terms &>(match.queue);
    job->objective = static_cast<const sched::queue_objective &>(match.queue);
    job->acceptedUnixMs = unixMillis();
    const row_key key = tables::jobRow(job->id);
    const std::string row = writeJob(*job);
    if (row.size() > m_maxRowBytes) {
        // The platform's statuses for a job that never runs are 429 and 503. Another node or a later attempt would refuse it too.
        logEvent("job_refused",
                 {{"request", job->id}, {"reason", "row_too_long"}, {"row_bytes", std::to_string(row.size())}, {"limit", std::to_string(m_maxRowBytes)}});
        respond(finalAnswer(jsonTextResponse(statusUnavailable, R"({"Reason":"job_too_long"})")));
        return;
    }
    if (const std::optional<job_refusal> noRoom = m_admission.decide(sched::openJobSize(*job), steadyMillis())) {
        refuseUnlessStored(job->id, row, *noRoom, std::move(respond));
        return;
    }
    m_writer->add(
        key, row, writeDeadline(request, call.mayForward), [this, row, id = job->id, respond = std::move(respond)](const submission_outcome &written) {
            finishSubmission(id, row, written, respond);
        });
}

// A job whose submission is stored was accepted, and this is a repetition. Only a job that isn't stored may be told not to run.
void front_service::refuseUnlessStored(const std::string &job, const std::string &row, const job_refusal &noRoom, front_responder respond)
{
    m_store.get(onlyRow(tables::jobRow(job)), readTimeout, [this, job, row, noRoom, respond = std::move(respond)](const rows_result &result) {
        if (result.status != store_status::Ok) {
            finishSubmission(job, row, {submission_result::NotStored, {}}, respond);
            return;
        }
        if (!result.rows.empty()) {
            finishSubmission(job, row, {submission_result::Exists, result.rows.front().value}, respond);
            return;
        }
        m_metrics.findCounter("daisypass_jobs_refused_total", {{"reason", "no_room"}}).add();
        logEvent("job_refused",
                 {{"request", job},
                  {"reason", "no_room"},
                  {"needed_bytes", noRoom.neededBytes},
                  {"free_bytes", noRoom.freeBytes},
                  {"room_age_ms", noRoom.ageMs},
                  {"retry_after_s", noRoom.retryAfterSeconds}});
        respond(finalAnswer(refusal(statusTooMany, noRoom.retryAfterSeconds)));
    });
}

void front_service::finishSubmission(const std::string &job, const std::string &row, const submission_outcome &written, const front_responder &respond)
{
    switch (written.result) {
    case submission_result::Stored:
        m_onRowStored(tables::jobRow(job), row);
        break;
    case submission_result::Exists:
        if (written.existingValue == tables::barredSubmission) {
            logEvent("job_refused", {{"request", job}, {"reason", "cancelled_before"}});
            respond(finalAnswer(jsonTextResponse(statusUnavailable, R"({"Reason":"cancelled"})")));
            return;
        }
        m_onRowStored(tables::jobRow(job), written.existingValue);
        break;
    case submission_result::NotStored:
        logEvent("job_refused", {{"request", job}, {"reason", "store_refused"}});
        respond(storeUnavailable());
        return;
    case submission_result::Unknown:
        logEvent("job_outcome_unknown", {{"request", job}});
        respond(outcomeUnknown());
        return;
    }
    logEvent("job_accepted", {{"request", job}});
    respond(finalAnswer(emptyResponse(statusOk)));
}

void front_service::answerJobState(const std::string &job, front_responder respond)
{
    m_store.get(onlyRow({tables::state, tables::holderPart, job}), readTimeout, [this, job, respond = std::move(respond)](const rows_result &result) {
        if (result.status != store_status::Ok) {
            respond(storeUnavailable());
            return;
        }
        const std::string phase = result.rows.empty() ? std::string() : sched::phaseIn(result.rows.front().value);
        if (!phase.empty()) {
            respond(finalAnswer(jsonTextResponse(statusOk, encodeJobState(phase))));
            return;
        }
        answerUnplacedJobState(job, respond);
    });
}

// Answers for a job without a state row: no task has been placed, so the job is pending, cancelled, or unknown.
void front_service::answerUnplacedJobState(const std::string &job, front_responder respond)
{
    const row_key submissionKey = tables::jobRow(job);
    m_store.get({submissionKey.table, submissionKey.part, job, job + '~'}, readTimeout, [job, respond = std::move(respond)](const rows_result &result) {
        if (result.status != store_status::Ok) {
            respond(storeUnavailable());
            return;
        }
        bool submitted = false;
        bool cancelled = false;
        for (const store_row &row : result.rows) {
            submitted = submitted || (row.key.key == job && row.value != tables::barredSubmission);
            cancelled = cancelled || row.key.key.ends_with(tables::cancelSuffix);
        }
        if (!submitted) {
            respond(finalAnswer(emptyResponse(statusGone)));
            return;
        }
        const sched::job_phase phase = cancelled ? sched::job_phase::Cancelled : sched::job_phase::Pending;
        respond(finalAnswer(jsonTextResponse(statusOk, encodeJobState(sched::nameOf(phase)))));
    });
}

void front_service::cancel(const admitted_call &call, sched::time_ms deadline, front_responder respond)
{
    const std::string &job = call.match.pathSuffix;
    m_store.get(onlyRow(tables::jobRow(job)), readTimeout, [this, call, deadline, respond = std::move(respond)](const rows_result &result) {
        if (result.status != store_status::Ok) {
            respond(storeUnavailable());
        } else if (result.rows.empty()) {
            barSubmission(call, deadline, respond);
        } else if (result.rows.front().value == tables::barredSubmission) {
            respond(finalAnswer(emptyResponse(statusGone)));
        } else {
            cancelIfAllowed(call, result.rows.front().value, deadline, respond);
        }
    });
}

void front_service::cancelIfAllowed(const admitted_call &call, const std::string &row, sched::time_ms deadline, const front_responder &respond)
{
    failure reason;
    const std::optional<sched::job_spec> job = readJob(row, reason);
    const std::string &id = call.match.pathSuffix;
    // A job whose row can't be read never runs, so anybody may cancel it.
    if (job && !mayCancel(*job, {call.match.queue.key, call.tenant}, *call.configuration->view)) {
        logEvent("cancel_refused", {{"request", id}, {"reason", "job_of_another_tenant"}, {"tenant", call.tenant}});
        respond(finalAnswer(emptyResponse(statusForbidden)));
        return;
    }
    cancelStored(id, deadline, respond);
}

void front_service::cancelStored(const std::string &job, sched::time_ms deadline, front_responder respond)
{
    m_writer->add(tables::cancelRow(job), "{}", deadline, [this, job, respond = std::move(respond)](const submission_outcome &written) {
        if (written.result != submission_result::Stored) {
            respond(written.result == submission_result::Unknown ? outcomeUnknown() : storeUnavailable());
            return;
        }
        m_onRowStored(tables::cancelRow(job), {});
        logEvent("cancel_accepted", {{"request", job}});
        respond(finalAnswer(emptyResponse(statusOk)));
    });
}

// After 410 the caller takes the job for gone, but its submission may still reach the store.
void front_service::barSubmission(const admitted_call &call, sched::time_ms deadline, front_responder respond)
{
    const std::string &job = call.match.pathSuffix;
    const std::string mark(tables::barredSubmission);
    m_writer->add(tables::jobRow(job), mark, deadline, [this, call, job, deadline, respond = std::move(respond)](const submission_outcome &written) {
        switch (written.result) {
        case submission_result::Stored:
            logEvent("submission_barred", {{"request", job}});
            respond(finalAnswer(emptyResponse(statusGone)));
            return;
        case submission_result::Exists:
            cancelIfAllowed(call, written.existingValue, deadline, respond);
            return;
        case submission_result::NotStored:
            respond(storeUnavailable());
            return;
        case submission_result::Unknown:
            respond(outcomeUnknown());
            return;
        }
    });
}

// The count can be given only if it includes all jobs that were accepted some seconds ago. Its age is taken from the store's clock, because
// the clocks of the machines differ.
void front_service::answerWaitingCount(const sched::queue_key &queue, front_responder respond)
{
    // The range ends right after the keys that begin with the first row's key and a slash.
    const row_key row = tables::countsRow();
    m_store.get({row.table, row.part, row.key, row.key + '0'}, readTimeout, [this, queue, respond = std::move(respond)](const rows_result &result) {
        if (result.status != store_status::Ok) {
            respond(storeUnavailable());
            return;
        }
        const std::optional<queue_counts> counts = readQueueCounts(countRowsIn(result.rows));
        const std::variant<std::int64_t, count_error> waiting = countAt(counts, queue, result.storeMs);
        if (const count_error *error = std::get_if<count_error>(&waiting)) {
            m_metrics.findCounter("daisypass_counts_refused_total", {{"reason", std::string(nameOf(*error))}}).add();
            logEvent("count_refused",
                     {{"queue", queue.host + queue.prefix}, {"reason", nameOf(*error)}, {"age_ms", counts ? result.storeMs - counts->completeUntil : -1}});
            respond(finalAnswer(refusal(statusUnavailable, 1)));
            return;
        }
        respond(finalAnswer(jsonTextResponse(statusOk, encodeWaitingCount(std::get<std::int64_t>(waiting)))));
    });
}

} // namespace daisypass
