#pragma once

// Client of the platform's fleet service: lists VMs, moves them between pools, and takes them down for maintenance ("upkeep" in the
// platform's terms).

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

/** Sender of an order: the lease holder's node and the fencing token of its term. */
struct lease_holder
{
    std::string node;
    std::int64_t fencingToken = 0;
};

class fleet_client
{
public:
    fleet_client(http_client &http, const endpoint &service);

    void list(const std::string &page, std::function<void(vm_page)> done);
    /** Ends all runs on the VM and moves it to the pool, which takes some time. */
    void move(const lease_holder &holder, const std::string &vm, const std::string &pool, std::function<void(fleet_status)> done);
    /** Ends all runs on the VM, takes it down for maintenance and brings it back up. */
    void maintain(const lease_holder &holder, const std::string &vm, std::int64_t wave, std::function<void(fleet_status)> done);

private:
    void order(const lease_holder &holder, const char *path, std::string body, std::function<void(fleet_status)> done);

    http_client &m_http;
    std::string m_url;
};

} // namespace daisypass
