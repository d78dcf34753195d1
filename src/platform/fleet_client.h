#pragma once

// Client of the platform's fleet service: the list of VMs, moves between pools, and upkeep.

#include "http/http_client.h"
#include "sched/events.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace daisypass {

using sched::fleet_status;

struct vm_page
{
    fleet_status status = fleet_status::Unknown;
    std::vector<sched::vm_entry> vms;
    /** Empty after the last page. */
    std::string nextPage;
};

/** Who orders: the machine, and the fencing token of its lease. */
struct fleet_holder
{
    std::string node;
    std::int64_t fencingToken = 0;
};

class fleet_client
{
public:
    fleet_client(http_client &http, const endpoint &service);

    void list(const std::string &page, std::function<void(vm_page)> done);
    /** Ends everything that runs on the VM; it joins the pool after a while. */
    void move(const fleet_holder &holder, const std::string &vm, const std::string &pool, std::function<void(fleet_status)> done);
    /** Ends everything that runs on the VM, takes it down for its upkeep and brings it back. */
    void upkeep(const fleet_holder &holder, const std::string &vm, std::int64_t wave, std::function<void(fleet_status)> done);

private:
    void order(const fleet_holder &holder, const char *path, std::string body, std::function<void(fleet_status)> done);

    http_client &m_http;
    std::string m_url;
};

} // namespace daisypass
