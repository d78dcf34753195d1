#include "standins/platform_standin.h"

#include <algorithm>
#include <charconv>

namespace daisypass {
namespace {

// Must hold a whole file body or snapshot, because each is stored as one object.
constexpr std::size_t maxObjectBytes = 64 << 20;
// A scan costs one read per group of up to this many rows.
constexpr int rowsPerRead = 50;
constexpr int defaultScanLimit = 100;

constexpr std::string_view objectPrefix = "/objects/";
constexpr std::string_view vmPrefix = "/vms/";
constexpr std::string_view rebootSuffix = "/reboot";

http_response errorResponse(int status, std::string_view message)
{
    return jsonResponse(status, {{"error", message}});
}

int toNumber(std::string_view text, int fallback)
{
    int value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

nlohmann::json rowToJson(const table_row &row)
{
    return {{"key", row.key}, {"value", row.value}, {"version", row.version}, {"write_id", row.writeId}};
}

std::optional<table_transaction> transactionFromJson(const nlohmann::json &body)
{
    try {
        table_transaction transaction;
        transaction.writeId = body.at("write_id").get<std::string>();
        for (const nlohmann::json &condition : body.value("conditions", nlohmann::json::array())) {
            transaction.conditions.push_back({condition.at("key").get<std::string>(), condition.at("version").get<std::uint64_t>()});
        }
        for (const nlohmann::json &put : body.value("puts", nlohmann::json::array())) {
            transaction.puts.push_back({put.at("key").get<std::string>(), put.at("value").get<std::string>()});
        }
        transaction.deletes = body.value("deletes", std::vector<std::string>());
        return transaction;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace

platform_standin::platform_standin(platform_options options)
    : m_options(std::move(options))
    , m_client({})
    , m_server({.listen = m_options.listen, .threads = 2, .maxBodyBytes = maxObjectBytes}, [this](const http_request &request, const http_responder &respond) {
        handle(request, respond);
    })
{
}

platform_standin::~platform_standin()
{
    m_server.stop();
}

bool platform_standin::start(failure &reason)
{
    return m_server.start(reason);
}

std::uint16_t platform_standin::port() const
{
    return m_server.port();
}

void platform_standin::setVms(nlohmann::json vms)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const clock::time_point now = clock::now();
    const std::chrono::milliseconds lag = m_lists.empty() ? std::chrono::milliseconds(0) : m_options.listLag;
    m_lists.push_back({now + lag, std::move(vms)});
    while (m_lists.size() > 1 && m_lists[1].visibleAt <= now) {
        m_lists.pop_front();
    }
}

void platform_standin::handle(const http_request &request, const http_responder &respond)
{
    if (request.path.starts_with("/admin/")) {
        respond(admin(request));
        return;
    }
    std::chrono::milliseconds delay{0};
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        delay = m_faults.delay;
    }
    http_response response = consumeInjectedFailure() ? errorResponse(503, "outage") : route(request);
    if (delay.count() == 0) {
        respond(std::move(response));
        return;
    }
    m_timers.after(delay, [respond, response = std::move(response)] {
        respond(response);
    });
}

http_response platform_standin::route(const http_request &request)
{
    const bool isGet = request.method == "GET";
    if (request.method == "POST" && request.path == "/table/commit") {
        return commit(request);
    }
    if (isGet && request.path == "/table/row") {
        return readRow(request);
    }
    if (isGet && request.path == "/table/rows") {
        return scanRows(request);
    }
    if (request.path.starts_with(objectPrefix)) {
        return object(request);
    }
    if (isGet && request.path == "/vms") {
        return listVms();
    }
    if (request.method == "POST" && request.path.starts_with(vmPrefix) && request.path.ends_with(rebootSuffix)) {
        return reboot(request);
    }
    return errorResponse(404, "no such path");
}

http_response platform_standin::commit(const http_request &request)
{
    const std::optional<table_transaction> transaction = transactionFromJson(jsonBody(request));
    if (!transaction) {
        return errorResponse(400, "not a transaction");
    }
    if (!consumeQuota(0, static_cast<int>(transaction->puts.size() + transaction->deletes.size()))) {
        return errorResponse(429, "over the limit of writes");
    }
    failure reason;
    if (m_table.commit(*transaction, reason) == commit_outcome::Conflict) {
        return jsonResponse(409, {{"conflicts", {reason.argument}}});
    }
    nlohmann::json versions = nlohmann::json::object();
    for (const row_put &put : transaction->puts) {
        const std::optional<table_row> row = m_table.read(put.key, reason);
        if (row && row->writeId == transaction->writeId) {
            versions[put.key] = row->version;
        }
    }
    http_response response = jsonResponse(200, {{"versions", versions}});
    if (consumeLostAnswer()) {
        response.delivery = answer_delivery::Closed;
    }
    return response;
}

http_response platform_standin::readRow(const http_request &request)
{
    if (!consumeQuota(1, 0)) {
        return errorResponse(429, "over the limit of reads");
    }
    failure reason;
    const std::optional<table_row> row = m_table.read(findHeader(request.query, "key"), reason);
    return row ? jsonResponse(200, rowToJson(*row)) : errorResponse(404, "no such row");
}

http_response platform_standin::scanRows(const http_request &request)
{
    const int limit = toNumber(findHeader(request.query, "limit"), defaultScanLimit);
    failure reason;
    const std::optional<std::vector<table_row>> rows = m_table.scan(findHeader(request.query, "prefix"), findHeader(request.query, "after"), limit, reason);
    nlohmann::json body{{"rows", nlohmann::json::array()}};
    for (const table_row &row : *rows) {
        body["rows"].push_back(rowToJson(row));
    }
    const int groups = (static_cast<int>(rows->size()) + rowsPerRead - 1) / rowsPerRead;
    if (!consumeQuota(std::max(1, groups), 0)) {
        return errorResponse(429, "over the limit of reads");
    }
    return jsonResponse(200, body);
}

http_response platform_standin::object(const http_request &request)
{
    const std::string name = request.path.substr(objectPrefix.size());
    failure reason;
    if (request.method == "PUT") {
        if (!consumeQuota(0, 1)) {
            return errorResponse(429, "over the limit of writes");
        }
        m_objects.put(name, request.body, reason);
        http_response response = jsonResponse(200, nlohmann::json::object());
        if (consumeLostAnswer()) {
            response.delivery = answer_delivery::Closed;
        }
        return response;
    }
    if (!consumeQuota(1, 0)) {
        return errorResponse(429, "over the limit of reads");
    }
    std::optional<std::string> body = m_objects.get(name, reason);
    return body ? http_response{200, {{"Content-Type", "application/octet-stream"}}, std::move(*body)} : errorResponse(404, "no such object");
}

http_response platform_standin::listVms()
{
    if (!consumeQuota(1, 0)) {
        return errorResponse(429, "over the limit of reads");
    }
    const std::lock_guard<std::mutex> guard(m_lock);
    const clock::time_point now = clock::now();
    const auto visible = std::find_if(m_lists.rbegin(), m_lists.rend(), [now](const vm_list_version &version) {
        return version.visibleAt <= now;
    });
    return jsonResponse(200, visible == m_lists.rend() ? nlohmann::json::array() : visible->vms);
}

http_response platform_standin::reboot(const http_request &request)
{
    const std::size_t length = request.path.size() - vmPrefix.size() - rebootSuffix.size();
    const std::string vm = request.path.substr(vmPrefix.size(), length);
    const std::string operation = jsonBody(request).value("operation", "");
    if (operation.empty()) {
        return errorResponse(400, "operation expected");
    }
    bool first = false;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        first = m_reboots.emplace(operation, vm).second;
        if (first) {
            m_rebootOrder.push_back(operation);
        }
    }
    if (first) {
        forwardReboot(vm);
    }
    http_response response = jsonResponse(200, {{"vm", vm}, {"operation", operation}, {"first", first}});
    if (consumeLostAnswer()) {
        response.delivery = answer_delivery::Closed;
    }
    return response;
}

void platform_standin::forwardReboot(const std::string &vm)
{
    http_call call;
    call.method = "POST";
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        if (m_lists.empty()) {
            return;
        }
        for (const nlohmann::json &listed : m_lists.back().vms) {
            if (listed.value("id", "") == vm && !listed.value("address", "").empty()) {
                call.url = "http://" + listed.value("address", "") + "/admin/reboot";
            }
        }
    }
    if (!call.url.empty()) {
        m_client.send(std::move(call), [](const http_result &) {
        });
    }
}

http_response platform_standin::admin(const http_request &request)
{
    if (request.method == "POST" && request.path == "/admin/faults") {
        setFaults(jsonBody(request));
        return jsonResponse(200, stats());
    }
    if (request.method == "PUT" && request.path == "/admin/vms") {
        constexpr bool allowExceptions = false;
        nlohmann::json vms = nlohmann::json::parse(request.body, nullptr, allowExceptions);
        if (!vms.is_array()) {
            return errorResponse(400, "array of VMs expected");
        }
        setVms(std::move(vms));
        return jsonResponse(200, stats());
    }
    if (request.method == "GET" && request.path == "/admin/stats") {
        return jsonResponse(200, stats());
    }
    return errorResponse(404, "no such path");
}

bool platform_standin::consumeInjectedFailure()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    if (m_faults.outage) {
        ++m_statistics.refusals;
        return true;
    }
    if (m_faults.callsToFail > 0) {
        --m_faults.callsToFail;
        ++m_statistics.refusals;
        return true;
    }
    return false;
}

bool platform_standin::consumeLostAnswer()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    if (m_faults.answersToLose == 0) {
        return false;
    }
    --m_faults.answersToLose;
    return true;
}

bool platform_standin::consumeQuota(int reads, int writes)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(clock::now().time_since_epoch()).count();
    if (second != m_quotaSecond) {
        m_quotaSecond = second;
        m_readsInSecond = 0;
        m_writesInSecond = 0;
    }
    if (m_readsInSecond + reads > m_options.readsPerSecond || m_writesInSecond + writes > m_options.writesPerSecond) {
        ++m_statistics.refusals;
        return false;
    }
    m_readsInSecond += reads;
    m_writesInSecond += writes;
    m_statistics.reads += static_cast<std::uint64_t>(reads);
    m_statistics.writes += static_cast<std::uint64_t>(writes);
    m_statistics.peakReadsPerSecond = std::max(m_statistics.peakReadsPerSecond, static_cast<std::uint64_t>(m_readsInSecond));
    m_statistics.peakWritesPerSecond = std::max(m_statistics.peakWritesPerSecond, static_cast<std::uint64_t>(m_writesInSecond));
    return true;
}

void platform_standin::setFaults(const nlohmann::json &body)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_faults.outage = body.value("outage", m_faults.outage);
    m_faults.delay = std::chrono::milliseconds(body.value("delay_ms", m_faults.delay.count()));
    m_faults.answersToLose = body.value("lose_answers", m_faults.answersToLose);
    m_faults.callsToFail = body.value("fail_next", m_faults.callsToFail);
}

nlohmann::json platform_standin::stats()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    nlohmann::json reboots = nlohmann::json::array();
    for (const std::string &operation : m_rebootOrder) {
        reboots.push_back({{"operation", operation}, {"vm", m_reboots[operation]}});
    }
    return {{"reads", m_statistics.reads},
            {"writes", m_statistics.writes},
            {"refusals", m_statistics.refusals},
            {"most_reads_in_second", m_statistics.peakReadsPerSecond},
            {"most_writes_in_second", m_statistics.peakWritesPerSecond},
            {"answers_to_lose", m_faults.answersToLose},
            {"calls_to_fail", m_faults.callsToFail},
            {"reboots", reboots}};
}

} // namespace daisypass
