#pragma once

// Settings of daisypass-entry, a JSON file with comments:
//
//     {
//         "entry": "entry-1",                        // unique in the deployment
//         "availability_zone": "hr-1",
//         "callers_listen": "127.0.0.1:8080",        // port 0 lets the system choose
//         "peers_listen": "127.0.0.1:8081",
//         "callers_advertise": "127.0.0.1:8080",     // what others use; by default the address and port listened on
//         "platform": "127.0.0.1:9000",
//         "limits": { "connections": 2000 },
//         "threads": { "callers": 2, "targets": 2 },
//         "intervals": { "poll_ms": 1000, "shutdown_ms": 30000 }
//     }
//
// The file is checked as a whole: every failure is reported, and nothing is used unless all of it is right.

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
    /** Time for a caller to send its whole request. */
    std::chrono::milliseconds callerRead{10'000};
    /** Memory for outcomes that may be asked for again. */
    std::size_t heldOutcomeBytes = std::size_t{64} << 20;
    std::size_t waitingClaims = 4'096;
};

struct entry_threads
{
    int callers = 2;
    int targets = 2;
};

struct entry_intervals
{
    std::chrono::milliseconds poll{1'000};
    /** On a stop, queued requests have this long before they are refused; requests on a target have until their deadline. */
    std::chrono::milliseconds shutdown{30'000};
    /** Time for appending entry_left. */
    std::chrono::milliseconds leave{5'000};
    /** How long outcomes are held. */
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

/** Returns nothing and at least one failure if anything is wrong; `file` names the source in failures. */
std::optional<entry_settings> parseEntrySettings(std::string_view text, std::string_view file, std::vector<failure> &failures);
std::optional<entry_settings> loadEntrySettings(const std::string &path, std::vector<failure> &failures);

} // namespace daisypass
