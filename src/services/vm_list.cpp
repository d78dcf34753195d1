#include "services/vm_list.h"

#include "services/http_answer.h"

#include <algorithm>
#include <mutex>

namespace daisypass {
namespace {

std::optional<listed_state> stateFromName(std::string_view name)
{
    if (name == "live") {
        return listed_state::Live;
    }
    if (name == "leaving") {
        return listed_state::Leaving;
    }
    if (name == "gone") {
        return listed_state::Gone;
    }
    return std::nullopt;
}

std::optional<listed_vm> vmFromJson(const nlohmann::json &item)
{
    listed_vm vm;
    failure ignored;
    const std::optional<endpoint> address = parseEndpoint(stringMember(item, "address"), ignored);
    const std::optional<listed_state> state = stateFromName(stringMember(item, "state"));
    vm.id = stringMember(item, "id");
    if (!address || !state || vm.id.empty()) {
        return std::nullopt;
    }
    vm.address = *address;
    vm.availabilityZone = stringMember(item, "availability_zone");
    vm.rack = stringMember(item, "rack");
    vm.state = *state;
    return vm;
}

} // namespace

struct memory_vms::list_state
{
    std::mutex lock;
    std::vector<listed_vm> vms;
    std::vector<std::string> reboots;
};

memory_vms::memory_vms()
    : m_state(std::make_shared<list_state>())
{
}

std::optional<std::vector<listed_vm>> memory_vms::list(failure &)
{
    const std::lock_guard<std::mutex> guard(m_state->lock);
    return m_state->vms;
}

bool memory_vms::reboot(std::string_view, std::string_view operation, failure &)
{
    const std::lock_guard<std::mutex> guard(m_state->lock);
    if (std::find(m_state->reboots.begin(), m_state->reboots.end(), operation) == m_state->reboots.end()) {
        m_state->reboots.emplace_back(operation);
    }
    return true;
}

void memory_vms::set(std::vector<listed_vm> vms)
{
    const std::lock_guard<std::mutex> guard(m_state->lock);
    m_state->vms = std::move(vms);
}

std::vector<std::string> memory_vms::reboots() const
{
    const std::lock_guard<std::mutex> guard(m_state->lock);
    return m_state->reboots;
}

http_vms::http_vms(std::shared_ptr<http_client> client, endpoint service)
    : m_client(std::move(client))
    , m_service(std::move(service))
{
}

std::optional<std::vector<listed_vm>> http_vms::list(failure &reason)
{
    const http_result result = m_client->fetch(platformCall(m_service, "GET", "/vms"));
    const std::optional<nlohmann::json> body = readJson(result, "vm list", reason);
    if (!body) {
        return std::nullopt;
    }
    // Anything else than a list must not be read as a list without VMs.
    if (!body->is_array()) {
        reason = failure{failure_code::BadAnswer, "vm list", {}, "an array"};
        return std::nullopt;
    }
    std::vector<listed_vm> vms;
    for (const nlohmann::json &item : *body) {
        std::optional<listed_vm> vm = vmFromJson(item);
        if (!vm) {
            reason = failure{failure_code::BadAnswer, "vm list: " + item.dump()};
            return std::nullopt;
        }
        vms.push_back(std::move(*vm));
    }
    return vms;
}

bool http_vms::reboot(std::string_view vm, std::string_view operation, failure &reason)
{
    const nlohmann::json body{{"operation", operation}};
    const http_result result = m_client->fetch(platformCall(m_service, "POST", "/vms/" + std::string(vm) + "/reboot", body.dump()));
    if (result.state == send_state::Sent) {
        reason = failure{failure_code::StoreOutcomeUnknown, std::string(operation)};
        return false;
    }
    return checkAnswer(result, vm, reason);
}

vm_list::vm_list(backend chosen)
    : m_backend(std::move(chosen))
{
}

std::optional<std::vector<listed_vm>> vm_list::list(failure &reason)
{
    return std::visit(
        [&](auto &vms) {
            return vms.list(reason);
        },
        m_backend);
}

bool vm_list::reboot(std::string_view vm, std::string_view operation, failure &reason)
{
    return std::visit(
        [&](auto &vms) {
            return vms.reboot(vm, operation, reason);
        },
        m_backend);
}

} // namespace daisypass
