#pragma once

// Limits for what the clients of a node may hold, from the limits of its machine, and the report of clients that were refused.
//
//     connection_account account(clientLimits(settings), [&report](client_refusal reason) { report.add(reason, steadyMillis()); });

#include "base/metrics.h"
#include "http/connection_account.h"
#include "platform/node_settings.h"

#include <array>
#include <cstdint>

namespace daisypass {

account_limits clientLimits(const node_settings &settings);

/** Counts refused clients by reason, and logs their number at most once per second. */
class refusal_report
{
public:
    explicit refusal_report(metrics_registry &metrics);

    void add(client_refusal reason, std::int64_t nowMs);

private:
    static constexpr std::size_t reasonCount = 4;

    std::array<counter *, reasonCount> m_counters{};
    std::int64_t m_loggedAt = 0;
    std::int64_t m_sinceLogged = 0;
};

} // namespace daisypass
