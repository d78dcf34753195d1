#pragma once

// Client of the platform's list of VMs, which lags behind their real state, and of the platform's reboot operation.
//
//     vm_list vms{http_vms{client, service}};                 // or memory_vms{} in tests
//     std::optional<std::vector<listed_vm>> listed = vms.list(reason);

#include "base/failure.h"
#include "base/settings_reader.h"
#include "http/http_client.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisypass {

enum class listed_state {
    Live,
    Leaving,
    Gone,
};

struct listed_vm
{
    std::string id;
    endpoint address;
    std::string availabilityZone;
    std::string rack;
    listed_state state = listed_state::Live;
};

/** A list in memory; shared by all copies. For tests. */
class memory_vms
{
public:
    memory_vms();

    std::optional<std::vector<listed_vm>> list(failure &reason);
    bool reboot(std::string_view vm, std::string_view operation, failure &reason);

    void set(std::vector<listed_vm> vms);
    /** Operation ids of all reboots, in order, without repetitions. */
    std::vector<std::string> reboots() const;

private:
    struct list_state;

    std::shared_ptr<list_state> m_state;
};

class http_vms
{
public:
    http_vms(std::shared_ptr<http_client> client, endpoint service);

    std::optional<std::vector<listed_vm>> list(failure &reason);
    bool reboot(std::string_view vm, std::string_view operation, failure &reason);

private:
    std::shared_ptr<http_client> m_client;
    endpoint m_service;
};

class vm_list
{
public:
    using backend = std::variant<memory_vms, http_vms>;

    explicit vm_list(backend chosen);

    /** Fails with StoreUnavailable or BadAnswer. */
    std::optional<std::vector<listed_vm>> list(failure &reason);
    /** Reboots a VM; idempotent for each operation id. Fails with StoreUnavailable, NotFound or StoreOutcomeUnknown. */
    bool reboot(std::string_view vm, std::string_view operation, failure &reason);

private:
    backend m_backend;
};

} // namespace daisypass
