#pragma once

// Reads and checks the settings file that the platform writes for a node process.
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
    /** First of the ports that are reserved for the system's own use; 0 if there are none. */
    std::uint16_t internalPort = 0;
    endpoint store;
    endpoint fleet;
    std::optional<endpoint> advice;
    double cpuShare = 1.0;
    std::int64_t memoryMb = 0;
    std::int64_t maxDescriptors = 0;
    double storeWritesPerSecond = 0;
    double storeReadsPerSecond = 0;
    double storePartWritesPerSecond = 0;
    std::int64_t executorHeartbeatMs = 1'500;
    std::int64_t shutdownGraceMs = 6'000;
    /** The deployment has tenants: calls of queues that aren't public need a key. */
    bool requiresKeys = false;
    /** A key that a configuration takes away must not be let through later than `revocationMs` after its acknowledgement, by any node. */
    bool strictRevocation = false;
    std::int64_t revocationMs = 5'000;
    /** How long after its acknowledgement a configuration may not be in force yet. */
    std::int64_t configurationApplyMs = 3'000;
    sched::bounds bounds;
};

/** Fails with SyntaxError, MissingKey, WrongType or BadAddress, with the line at fault. `file` is used in the error's location only. */
std::optional<node_settings> parseNodeSettings(std::string_view text, std::string_view file, failure &reason);

/** Like parseNodeSettings, and fails with FileUnreadable if the file can't be opened. */
std::optional<node_settings> loadNodeSettings(const std::string &path, failure &reason);

} // namespace daisypass
