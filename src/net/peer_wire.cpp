#include "net/peer_wire.h"

#include "net/proto/peer.pb.h"

#include <grpc/support/log.h>

namespace daisypass {
namespace {

struct fate_name
{
    peer_fate fate;
    peer::FateAnswer::Fate wire;
};

constexpr fate_name fateNames[] = {
    {peer_fate::Unknown, peer::FateAnswer::UNKNOWN},
    {peer_fate::Pending, peer::FateAnswer::PENDING},
    {peer_fate::Running, peer::FateAnswer::RUNNING},
    {peer_fate::Completed, peer::FateAnswer::COMPLETED},
    {peer_fate::Failed, peer::FateAnswer::FAILED},
    {peer_fate::NotRun, peer::FateAnswer::NOT_RUN},
    {peer_fate::Expired, peer::FateAnswer::EXPIRED},
};

} // namespace

void disableGrpcLog()
{
    gpr_set_log_function([](gpr_log_func_args *) {
    });
}

void toWire(const gossip_message &from, peer::GossipMessage &to)
{
    to.set_entry(from.entry);
    to.set_incarnation(from.incarnation);
    to.set_revision(from.revision);
    to.set_ready(from.ready);
    to.set_store_reachable(from.storeReachable);
    to.set_loads_version(from.loadsVersion);
    to.set_known_version(from.knownVersion);
    to.set_to(from.to);
    to.set_stamp(from.stamp);
    to.set_echo(from.echo);
    if (!from.pools) {
        return;
    }
    for (const peer_pool_load &load : *from.pools) {
        peer::PoolLoad &pool = *to.mutable_loads()->add_pools();
        pool.set_pool(load.pool);
        pool.set_queued(static_cast<std::uint32_t>(load.queued));
        pool.set_free_slots(static_cast<std::uint32_t>(load.freeSlots));
        pool.set_running(static_cast<std::uint32_t>(load.running));
        pool.set_number(static_cast<std::uint32_t>(load.number));
        pool.mutable_unreachable()->Assign(load.unreachable.begin(), load.unreachable.end());
    }
    to.mutable_loads();
}

gossip_message fromWire(const peer::GossipMessage &from)
{
    gossip_message to;
    to.entry = from.entry();
    to.incarnation = from.incarnation();
    to.revision = from.revision();
    to.ready = from.ready();
    to.storeReachable = from.store_reachable();
    to.loadsVersion = from.loads_version();
    to.knownVersion = from.known_version();
    to.to = from.to();
    to.stamp = from.stamp();
    to.echo = from.echo();
    if (!from.has_loads()) {
        return to;
    }
    to.pools.emplace();
    for (const peer::PoolLoad &pool : from.loads().pools()) {
        to.pools->push_back(peer_pool_load{pool.pool(),
                                           static_cast<int>(pool.queued()),
                                           static_cast<int>(pool.free_slots()),
                                           static_cast<int>(pool.running()),
                                           {pool.unreachable().begin(), pool.unreachable().end()},
                                           static_cast<int>(pool.number())});
    }
    return to;
}

void toWire(const fate_answer &from, peer::FateAnswer &to)
{
    for (const fate_name &name : fateNames) {
        if (name.fate == from.fate) {
            to.set_fate(name.wire);
        }
    }
    to.set_reason(from.reason);
    to.set_status(static_cast<std::uint32_t>(from.status));
    for (const peer_header &header : from.headers) {
        peer::Header &added = *to.add_headers();
        added.set_name(header.name);
        added.set_value(header.value);
    }
    to.set_body(from.body);
}

fate_answer fromWire(const peer::FateAnswer &from)
{
    // A value that this version does not know is read as Unknown, which says nothing about the request.
    fate_answer to;
    for (const fate_name &name : fateNames) {
        if (name.wire == from.fate()) {
            to.fate = name.fate;
        }
    }
    to.reason = from.reason();
    to.status = static_cast<int>(from.status());
    for (const peer::Header &header : from.headers()) {
        to.headers.push_back({header.name(), header.value()});
    }
    to.body = from.body();
    return to;
}

} // namespace daisypass
