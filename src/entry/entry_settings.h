#pragma once

// Settings of daisypass-entry, a JSON file with comments:
//
//     {
//         "entry": "entry-1",                        // unique in the deployment
//         "availability_zone": "hr-1",
//         "callers_listen": "127.0.0.1:8080",        // with port 0 the system chooses a port
//         "peers_listen": "127.0.0.1:8081",
//         "callers_advertise": "127.0.0.1:8080",     // address that others use; default: the listening address
//         "platform": "127.0.0.1:9000",
//         "limits": { "connections": 2000 },
//         "threads": { "callers": 2, "targets": 2 },
//         "intervals": { "poll_ms": 1000, "shutdown_ms": 30000 }
//     }
//
// The whole file is checked: every error is reported, and no settings are returned unless all are valid.

#include "base/failure.h"
#include "base/settings_reader.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

struct entry_limits
{
    int connections = 2'000;
    std::size_t bodyBytes = 1 << 20;
    std::size_t headerBytes = 16 << 10;
    /** Time limit for a caller to send its whole request. */
    std::chrono::milliseconds callerRead{10'000};
    /** Memory for outcomes that callers may query after the request has ended. */
    std::size_t heldOutcomeBytes = std::size_t{64} << 20;
    /** Most claims that may wait for a store write at once. */
    std::size_t waitingClaims = 4'096;
};

struct entry_threads
{
    int callers = 2;
    int targets = 2;
};

struct entry_intervals
{
    /** Interval of polls of the store for the fleet log. */
    std::chrono::milliseconds poll{1'000};
    /** After a stop begins, requests still queued at the end of this time are refused; requests on a target may run until their deadline. */
    std::chrono::milliseconds shutdown{30'000};
    /** Time limit for appending entry_left during a stop. */
    std::chrono::milliseconds leave{5'000};
    /** How long outcomes are kept. */
    std::chrono::milliseconds outcomes{900'000};
};

struct entry_settings
{
    std::string entry;
    std::string availabilityZone;
    endpoint callersListen;
    endpoint peersListen;
    std::optional<endpoint> callersAdvertise;
    std::optional<endpoint> peersAdvertise;
    endpoint platform;
    entry_limits limits;
    entry_threads threads;
    entry_intervals intervals;
};

/** Returns nothing and adds at least one failure if any setting is invalid; `file` is the file name given in failures. */
std::optional<entry_settings> parseEntrySettings(std::string_view text, std::string_view file, std::vector<failure> &failures);
std::optional<entry_settings> loadEntrySettings(const std::string &path, std::vector<failure> &failures);

} // namespace daisypass
