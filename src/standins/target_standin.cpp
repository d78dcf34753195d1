#include "standins/target_standin.h"

#include "base/time.h"

#include <algorithm>

namespace daisypass {
namespace {

constexpr std::size_t recordedBodyBytes = 128;
constexpr std::string_view requestIdHeader = "Daisypass-Request-Id";

http_response closedResponse()
{
    http_response response;
    response.delivery = answer_delivery::Closed;
    return response;
}

} // namespace

execution_file::execution_file(const std::string &path)
    : m_output(path, std::ios::app)
{
}

void execution_file::append(const std::string &line)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_output << line << '\n' << std::flush;
}

target_standin::target_standin(target_options options, std::shared_ptr<timer_thread> timers, std::shared_ptr<execution_file> recordFile)
    : m_options(std::move(options))
    , m_timers(std::move(timers))
    , m_recordFile(std::move(recordFile))
    , m_server({.listen = m_options.listen, .maxConnections = m_options.connections}, [this](http_request request, const http_responder &respond) {
        handle(std::move(request), respond);
    })
{
}

target_standin::~target_standin()
{
    stop();
}

bool target_standin::start(failure &reason)
{
    if (!m_server.start(reason)) {
        return false;
    }
    const std::lock_guard<std::mutex> guard(m_lock);
    m_name = toString({m_options.listen.address, m_server.port()});
    return true;
}

void target_standin::stop()
{
    m_server.stop();
}

std::uint16_t target_standin::port() const
{
    return m_server.port();
}

void target_standin::handle(http_request request, const http_responder &respond)
{
    if (request.path.starts_with("/admin/")) {
        respond(admin(request));
        return;
    }
    if (isRebooting()) {
        respond(closedResponse());
    } else if (request.method == "GET" && request.path == "/status") {
        respond(jsonResponse(200, {{"in_flight", inFlight()}}));
    } else if (request.method != "POST") {
        respond(jsonResponse(405, {{"error", "POST expected"}}));
    } else {
        run(std::move(request), respond);
    }
}

void target_standin::run(http_request request, const http_responder &respond)
{
    std::chrono::milliseconds time = runTime(request);
    const std::string id(findHeader(request.headers, requestIdHeader));
    behaviour_mode mode = behaviour_mode::Normal;
    const std::optional<std::size_t> index = startRun(std::move(request), respond, mode);
    if (!index) {
        respond({503, {{std::string(requestIdHeader), id}, {"Daisypass-Not-Run", "busy"}}, "busy"});
        return;
    }
    if (mode == behaviour_mode::Fail) {
        time = std::chrono::milliseconds(0);
    } else if (mode == behaviour_mode::Slow) {
        time += m_slowTime.load();
    }
    m_timers->after(time, [this, index = *index] {
        finish(index);
    });
}

std::optional<std::size_t> target_standin::startRun(http_request request, const http_responder &respond, behaviour_mode &mode)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    if (static_cast<int>(m_running.size()) >= m_options.slots) {
        ++m_statistics.refused;
        return std::nullopt;
    }
    execution_record record;
    record.target = m_name;
    record.sequence = m_records.size();
    record.requestId = findHeader(request.headers, requestIdHeader);
    record.idempotencyKey = findHeader(request.headers, "Idempotency-Key");
    record.body = request.body.substr(0, recordedBodyBytes);
    record.startUs = wallNow().count();
    if (m_isLeaving) {
        ++m_statistics.arrivedAfterLeaving;
        record.afterLeavingMs = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_leavingSince).count();
    }
    writeRecord(record);
    const std::size_t index = m_records.size();
    m_records.push_back(std::move(record));
    mode = m_mode;
    m_running.emplace(index, running_request{respond, std::move(request), mode});
    m_statistics.peakInFlight = std::max(m_statistics.peakInFlight, static_cast<int>(m_running.size()));
    return index;
}

void target_standin::finish(std::size_t index)
{
    running_request done;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        const auto found = m_running.find(index);
        if (found == m_running.end()) {
            return;
        }
        done = std::move(found->second);
        m_running.erase(found);
        m_records[index].endUs = wallNow().count();
        m_records[index].result = done.mode == behaviour_mode::Fail ? execution_result::Failed : execution_result::Completed;
        writeRecord(m_records[index]);
    }
    http_response response{200, {}, std::move(done.request.body)};
    std::string id(findHeader(done.request.headers, requestIdHeader));
    switch (done.mode) {
    case behaviour_mode::Fail:
        response.status = 500;
        break;
    case behaviour_mode::Truncate:
        response.delivery = answer_delivery::Truncated;
        break;
    case behaviour_mode::WrongId:
        id += "-other";
        response.body = "the answer to another request";
        break;
    case behaviour_mode::Close:
        response.delivery = answer_delivery::Closed;
        break;
    case behaviour_mode::Normal:
    case behaviour_mode::Slow:
        break;
    }
    response.headers = {{std::string(requestIdHeader), std::move(id)}, {"Content-Type", "text/plain"}};
    done.respond(std::move(response));
}

http_response target_standin::admin(const http_request &request)
{
    if (request.method == "POST" && request.path == "/admin/behaviour") {
        setBehaviour(jsonBody(request));
        return jsonResponse(200, stats());
    }
    if (request.method == "POST" && request.path == "/admin/reboot") {
        reboot();
        return jsonResponse(200, stats());
    }
    if (request.method == "GET" && request.path == "/admin/executions") {
        return {200, {{"Content-Type", "application/x-ndjson"}}, executions()};
    }
    if (request.method == "GET" && request.path == "/admin/stats") {
        return jsonResponse(200, stats());
    }
    return jsonResponse(404, {{"error", "no such path"}});
}

void target_standin::setBehaviour(const nlohmann::json &body)
{
    static const std::map<std::string, behaviour_mode> modes{{"normal", behaviour_mode::Normal},
                                                             {"fail", behaviour_mode::Fail},
                                                             {"slow", behaviour_mode::Slow},
                                                             {"truncate", behaviour_mode::Truncate},
                                                             {"wrong_id", behaviour_mode::WrongId},
                                                             {"close", behaviour_mode::Close}};
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto mode = modes.find(body.value("mode", ""));
    if (mode != modes.end()) {
        m_mode = mode->second;
    }
    m_slowTime = std::chrono::milliseconds(body.value("slow_ms", m_slowTime.load().count()));
    const bool leaving = body.value("leaving", m_isLeaving);
    if (leaving && !m_isLeaving) {
        m_leavingSince = std::chrono::steady_clock::now();
    }
    m_isLeaving = leaving;
}

void target_standin::reboot()
{
    std::map<std::size_t, running_request> cut;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        ++m_statistics.reboots;
        m_statistics.cutOff += m_running.size();
        m_isRebooting = true;
        m_isLeaving = false;
        cut.swap(m_running);
        for (const std::pair<const std::size_t, running_request> &run : cut) {
            execution_record &record = m_records[run.first];
            record.endUs = wallNow().count();
            record.result = execution_result::CutOff;
            writeRecord(record);
        }
    }
    for (const std::pair<const std::size_t, running_request> &run : cut) {
        run.second.respond(closedResponse());
    }
    m_timers->after(m_options.rebootTime, [this] {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_isRebooting = false;
    });
}

bool target_standin::isRebooting()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_isRebooting;
}

std::size_t target_standin::inFlight()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_running.size();
}

std::string target_standin::executions()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    std::string lines;
    for (const execution_record &record : m_records) {
        lines += encodeExecution(record);
        lines += '\n';
    }
    return lines;
}

nlohmann::json target_standin::stats()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return {{"executions", m_records.size()},
            {"in_flight", m_running.size()},
            {"most_in_flight", m_statistics.peakInFlight},
            {"refused", m_statistics.refused},
            {"reboots", m_statistics.reboots},
            {"cut_off", m_statistics.cutOff},
            {"arrived_after_leaving", m_statistics.arrivedAfterLeaving}};
}

std::chrono::milliseconds target_standin::runTime(const http_request &request) const
{
    const std::int64_t runMs = findNumber(request.headers, "X-Run-Ms", m_options.defaultRun.count());
    return std::chrono::milliseconds(std::max<std::int64_t>(0, runMs));
}

void target_standin::writeRecord(const execution_record &record)
{
    if (m_recordFile) {
        m_recordFile->append(encodeExecution(record));
    }
}

} // namespace daisypass
