#include "platform/executor_client.h"

#include "http/http_answers.h"
#include "platform/wire_json.h"

namespace daisypass {
namespace {

using wire::json;

// An executor answers an order within a few network round trips. The timeout is short because the next list of runs shows cheaply
// whether an order without an answer took effect.
constexpr std::chrono::milliseconds orderTimeout{350};
constexpr std::chrono::milliseconds connectTimeout{350};
// Maximum number of ends in an executor's answer; more follow when these are acknowledged.
constexpr std::size_t maxEndsPerAnswer = 500;
// Added to a long poll's wait time, so that the answer can arrive.
constexpr std::chrono::milliseconds pollMargin{400};

order_status statusOfConflict(const json &body)
{
    const std::string reason = wire::stringIn(body, "Reason").value_or("");
    if (reason == "fence") {
        return order_status::Fenced;
    }
    if (reason == "old") {
        return order_status::StaleRun;
    }
    if (reason == "late") {
        return order_status::TooLate;
    }
    if (reason == "room") {
        return order_status::InsufficientCapacity;
    }
    if (reason == "ticket") {
        return order_status::InvalidTicket;
    }
    return order_status::Rejected;
}

order_status statusOf(const http_result &result, const json &body)
{
    if (result.state == send_state::NotSent) {
        return order_status::Unreachable;
    }
    if (result.state == send_state::Sent) {
        return order_status::Unknown;
    }
    switch (result.response.status) {
    case statusOk:
        return order_status::Ok;
    case statusConflict:
        return statusOfConflict(body);
    case statusMisdirected:
        return order_status::WrongExecutor;
    case statusTooMany:
    case statusUnavailable:
        return order_status::Unhealthy;
    default:
        return result.response.status < 500 ? order_status::Rejected : order_status::Unknown;
    }
}

json bodyOf(const http_result &result)
{
    if (result.state != send_state::Answered) {
        return json::object();
    }
    return wire::parseObject(result.response.body).value_or(json::object());
}

order_result readOrder(const http_result &result)
{
    const json body = bodyOf(result);
    return {statusOf(result, body), wire::integerIn(body, "ClockMs"), wire::integerIn(body, "born")};
}

std::optional<sched::run_end> parseRunEnd(const std::string &name)
{
    using sched::run_end;
    static const std::map<std::string, run_end, std::less<>> names{{"done", run_end::Done},
                                                                   {"failed", run_end::Failed},
                                                                   {"stopped", run_end::Stopped},
                                                                   {"lapsed", run_end::LeaseExpired},
                                                                   {"broken", run_end::GangMemberEnded},
                                                                   {"alone", run_end::GangIncomplete}};
    const auto found = names.find(name);
    if (found == names.end()) {
        return std::nullopt;
    }
    return found->second;
}

template<typename T>
T elementOr(const json &row, std::size_t index, T fallback)
{
    if (index >= row.size()) {
        return fallback;
    }
    if constexpr (std::is_same_v<T, std::string>) {
        return row[index].is_string() ? row[index].get<std::string>() : fallback;
    } else {
        return row[index].is_number() ? row[index].get<T>() : fallback;
    }
}

// Rows are [task, run, checkpoint, percent, load].
std::optional<sched::listed_run> readRun(const json &row)
{
    if (!row.is_array()) {
        return std::nullopt;
    }
    const std::optional<sched::task_id> task = sched::task_id::parse(elementOr<std::string>(row, 0, ""));
    if (!task) {
        return std::nullopt;
    }
    sched::listed_run run;
    run.task = *task;
    run.run = elementOr<int>(row, 1, 0);
    run.checkpoint = elementOr<std::string>(row, 2, "");
    run.percent = elementOr<int>(row, 3, 0);
    run.load = elementOr<std::int64_t>(row, 4, 0);
    return run;
}

// Rows are [number, task, run, how, checkpoint].
std::optional<sched::listed_end> readEnd(const json &row)
{
    if (!row.is_array()) {
        return std::nullopt;
    }
    const std::optional<sched::task_id> task = sched::task_id::parse(elementOr<std::string>(row, 1, ""));
    const std::optional<sched::run_end> how = parseRunEnd(elementOr<std::string>(row, 3, ""));
    if (!task || !how) {
        return std::nullopt;
    }
    sched::listed_end end;
    end.number = elementOr<std::int64_t>(row, 0, 0);
    end.task = *task;
    end.run = elementOr<int>(row, 2, 0);
    end.how = *how;
    end.checkpoint = elementOr<std::string>(row, 4, "");
    return end;
}

poll_result readPollResult(const http_result &result)
{
    const json body = bodyOf(result);
    poll_result read;
    read.status = statusOf(result, body);
    read.clockMs = wire::integerIn(body, "ClockMs");
    read.startedUnixMs = wire::integerIn(body, "born");
    const json *running = wire::arrayIn(body, "Running");
    const json *ended = wire::arrayIn(body, "EndedRuns");
    if (read.status == order_status::Ok && (running == nullptr || ended == nullptr)) {
        // An answer without both lists doesn't show which runs exist.
        read.status = order_status::Unknown;
        return read;
    }
    if (running != nullptr) {
        for (const json &row : *running) {
            if (std::optional<sched::listed_run> run = readRun(row)) {
                read.runs.push_back(std::move(*run));
            }
        }
    }
    if (ended != nullptr) {
        read.moreEnds = ended->size() >= maxEndsPerAnswer;
        for (const json &row : *ended) {
            if (std::optional<sched::listed_end> end = readEnd(row)) {
                read.ends.push_back(std::move(*end));
            }
        }
    }
    return read;
}

/** The path and the body of a call to an executor. */
struct executor_request
{
    const char *path;
    json body;
};

executor_request requestFor(const start_order &order)
{
    json body{{"Task", order.task.text()}, {"Run", order.run}, {"Spec", order.payload}, {"DeadlineMs", order.leaseEndMs}, {"FenceToken", order.fencingToken}};
    if (!order.checkpoint.empty()) {
        body["Checkpoint"] = order.checkpoint;
    }
    if (!order.ticket.empty()) {
        body["Ticket"] = order.ticket;
    }
    return {"/-/run-start", std::move(body)};
}

executor_request requestFor(const stop_order &order)
{
    return {"/-/run-stop", json{{"Task", order.task.text()}, {"Run", order.run}, {"FenceToken", order.fencingToken}}};
}

executor_request requestFor(const throttle_order &order)
{
    return {"/-/pace", json{{"Task", order.task.text()}, {"Run", order.run}, {"Percent", order.percent}, {"FenceToken", order.fencingToken}}};
}

executor_request requestFor(const poll_order &order)
{
    json body{{"FenceToken", order.fencingToken}, {"AckCursor", order.acknowledged}, {"WaitMs", order.wait.count()}};
    if (order.leaseEndMs) {
        body["DeadlineMs"] = *order.leaseEndMs;
    }
    return {"/-/hold", std::move(body)};
}

advice_result readAdvice(const http_result &result)
{
    const json body = bodyOf(result);
    advice_result read;
    read.status = statusOf(result, body);
    read.validMs = wire::integerIn(body, "ValidityMs").value_or(0);
    const json *good = wire::arrayIn(body, "Good");
    if (good == nullptr) {
        return read;
    }
    for (const json &row : *good) {
        if (row.is_array()) {
            read.tickets.emplace_back(elementOr<std::string>(row, 0, ""), elementOr<std::string>(row, 1, ""));
        }
    }
    return read;
}

} // namespace

executor_client::executor_client(call_sender sender)
    : m_send(std::move(sender))
{
}

void executor_client::post(
    const executor_address &target, const char *path, std::string body, std::chrono::milliseconds timeout, std::function<void(const http_result &)> done)
{
    http_call call;
    call.method = "POST";
    call.url = "http://" + target.address + path;
    call.headers = {{"Content-Type", "application/json"}};
    if (!target.id.empty()) {
        call.headers.push_back({"X-Daisypass-Expected-Instance", target.id});
    }
    call.body = std::move(body);
    call.connectTimeout = std::min(connectTimeout, timeout);
    call.totalTimeout = timeout;
    m_send(std::move(call), [done = std::move(done)](const http_result &result) {
        done(result);
    });
}

std::chrono::milliseconds timeoutOf(const executor_order &order)
{
    const poll_order *poll = std::get_if<poll_order>(&order.what);
    return poll == nullptr ? orderTimeout : poll->wait + pollMargin;
}

void executor_client::send(const executor_order &order, std::function<void(executor_answer)> done)
{
    const executor_request request = std::visit(
        [](const auto &what) {
            return requestFor(what);
        },
        order.what);
    const bool isPoll = std::holds_alternative<poll_order>(order.what);
    post(order.target, request.path, wire::dump(request.body), timeoutOf(order), [isPoll, done = std::move(done)](const http_result &result) {
        done(isPoll ? executor_answer(readPollResult(result)) : executor_answer(readOrder(result)));
    });
}

void executor_client::requestAdvice(const endpoint &service,
                                    const std::string &step,
                                    const std::vector<std::string> &executors,
                                    std::chrono::milliseconds wait,
                                    std::function<void(advice_result)> done)
{
    const json body{{"Step", step}, {"Workers", executors}};
    post({"", toString(service)}, "/-/advise", wire::dump(body), wait, [done = std::move(done)](const http_result &result) {
        done(readAdvice(result));
    });
}

} // namespace daisypass
