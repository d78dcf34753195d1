#include "node/client_limits.h"

#include "base/log.h"
#include "node/memory_shares.h"

#include <algorithm>
#include <string>

namespace daisypass {
namespace {

// The platform reserves this many of a machine's descriptors for files.
constexpr std::int64_t fileDescriptors = 200;
// Half of the other descriptors are kept for connections to executors, the store and other nodes.
constexpr std::int64_t descriptorDivisor = 2;
// Half of the clients' memory is kept for requests; connections without one are charged for the other half at most.
constexpr std::int64_t idleDivisor = 2;
constexpr std::int64_t requestDivisor = 2;
constexpr std::int64_t minConnections = 16;
constexpr std::int64_t logIntervalMs = 1'000;

} // namespace

account_limits clientLimits(const node_settings &settings)
{
    const std::int64_t bytes = clientMemoryBytes(settings.memoryMb);
    const std::int64_t byDescriptors = (settings.maxDescriptors - fileDescriptors) / descriptorDivisor;
    const std::int64_t byMemory = bytes / idleDivisor / static_cast<std::int64_t>(connectionBytes);
    account_limits limits;
    limits.bytes = static_cast<std::size_t>(bytes);
    limits.connections = static_cast<int>(std::max(minConnections, std::min(byDescriptors, byMemory)));
    limits.requestBytes = static_cast<std::size_t>(bytes / requestDivisor);
    return limits;
}

refusal_report::refusal_report(metrics_registry &metrics)
{
    for (std::size_t i = 0; i < reasonCount; ++i) {
        const std::string reason(nameOf(static_cast<client_refusal>(i)));
        m_counters.at(i) = &metrics.findCounter("daisypass_clients_refused_total", {{"reason", reason}});
    }
}

void refusal_report::add(client_refusal reason, std::int64_t nowMs)
{
    m_counters.at(static_cast<std::size_t>(reason))->add();
    ++m_sinceLogged;
    if (m_loggedAt != 0 && nowMs - m_loggedAt < logIntervalMs) {
        return;
    }
    // The number is that of all reasons; the counters tell them apart.
    logEvent("clients_refused", {{"reason", nameOf(reason)}, {"clients", m_sinceLogged}});
    m_loggedAt = nowMs;
    m_sinceLogged = 0;
}

} // namespace daisypass
