#include "platform/fleet_client.h"

#include "http/http_answers.h"
#include "platform/records.h"
#include "platform/wire_json.h"

namespace daisypass {
namespace {

using wire::json;

constexpr std::chrono::milliseconds callTimeout{1'500};
constexpr std::chrono::milliseconds connectTimeout{800};

fleet_status statusOf(const http_result &result)
{
    if (result.state == send_state::NotSent) {
        return fleet_status::Refused;
    }
    if (result.state == send_state::Sent) {
        return fleet_status::Unknown;
    }
    switch (result.response.status) {
    case statusOk:
        return fleet_status::Ok;
    case statusTooMany:
    case statusUnavailable:
        return fleet_status::Refused;
    case statusConflict:
        break;
    default:
        return result.response.status < 500 ? fleet_status::Rejected : fleet_status::Unknown;
    }
    const json body = wire::parseObject(result.response.body).value_or(json::object());
    const std::string reason = wire::stringIn(body, "Reason").value_or("");
    if (reason == "fence") {
        return fleet_status::Fenced;
    }
    return reason == "wave" ? fleet_status::NotInWave : fleet_status::Busy;
}

vm_page readPage(const http_result &result)
{
    vm_page page;
    page.status = statusOf(result);
    if (page.status != fleet_status::Ok) {
        return page;
    }
    const std::optional<json> body = wire::parseObject(result.response.body);
    const json *list = body ? wire::arrayIn(*body, "Machines") : nullptr;
    if (list == nullptr) {
        page.status = fleet_status::Unknown;
        return page;
    }
    for (const json &item : *list) {
        if (std::optional<sched::vm_entry> vm = readVm(item)) {
            page.vms.push_back(std::move(*vm));
        }
    }
    page.nextPage = wire::stringIn(*body, "NextToken").value_or("");
    return page;
}

} // namespace

fleet_client::fleet_client(http_client &http, const endpoint &service)
    : m_http(http)
    , m_url("http://" + toString(service))
{
}

void fleet_client::list(const std::string &page, std::function<void(vm_page)> done)
{
    http_call call;
    call.url = m_url + "/-/machines";
    if (!page.empty()) {
        call.url += "?PageToken=" + wire::escapeQuery(page);
    }
    call.connectTimeout = connectTimeout;
    call.totalTimeout = callTimeout;
    m_http.send(std::move(call), [done = std::move(done)](const http_result &result) {
        done(readPage(result));
    });
}

void fleet_client::order(const lease_holder &holder, const char *path, std::string body, std::function<void(fleet_status)> done)
{
    http_call call;
    call.method = "POST";
    call.url = m_url + path;
    call.headers
        = {{"Content-Type", "application/json"}, {"X-Daisypass-Lease-Holder", holder.node}, {"X-Daisypass-Fencing-Token", std::to_string(holder.fencingToken)}};
    call.body = std::move(body);
    call.connectTimeout = connectTimeout;
    call.totalTimeout = callTimeout;
    m_http.send(std::move(call), [done = std::move(done)](const http_result &result) {
        done(statusOf(result));
    });
}

void fleet_client::move(const lease_holder &holder, const std::string &vm, const std::string &pool, std::function<void(fleet_status)> done)
{
    order(holder, "/-/machine-move", wire::dump(json{{"Machine", vm}, {"Pool", pool}}), std::move(done));
}

void fleet_client::maintain(const lease_holder &holder, const std::string &vm, std::int64_t wave, std::function<void(fleet_status)> done)
{
    order(holder, "/-/machine-upkeep", wire::dump(json{{"Machine", vm}, {"Wave", wave}}), std::move(done));
}

} // namespace daisypass
