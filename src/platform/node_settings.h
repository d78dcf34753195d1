#pragma once

// The platform's settings file of a process, read and checked into typed settings.
//
//     failure reason;
//     std::optional<node_settings> settings = loadNodeSettings(path, reason);
//
// The file has lines `a.b=value`. Unknown keys are ignored.

#include "base/failure.h"
#include "base/settings_reader.h"
#include "sched/model.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

struct node_settings
{
    std::string node;
    std::string availabilityZone;
    endpoint front;
    endpoint ready;
    /** First of the ports that are free for the system's own use. */
    std::uint16_t internalPort = 0;
    endpoint store;
    endpoint fleet;
    std::optional<endpoint> advice;
    double cpuShare = 1.0;
    std::int64_t memoryMb = 0;
    double storeWritesPerSecond = 0;
    double storeReadsPerSecond = 0;
    double storePartWritesPerSecond = 0;
    double fleetCallsPerSecond = 0;
    std::int64_t executorHeartbeatMs = 1'500;
    std::int64_t graceMs = 6'000;
    sched::bounds bounds;
};

/** Fails with SyntaxError, MissingKey, WrongType or BadAddress, with the line at fault. `file` only names the source. */
std::optional<node_settings> parseNodeSettings(std::string_view text, std::string_view file, failure &reason);

/** Fails with FileUnreadable too. */
std::optional<node_settings> loadNodeSettings(const std::string &path, failure &reason);

} // namespace daisypass
