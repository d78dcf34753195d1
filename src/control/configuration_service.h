#pragma once

// Applies configurations for operators, exactly once, and reports the true outcome.
//
//     configuration_service service(follower, log);
//     apply_result result = service.apply(request, now);
//
// Calls block on the store. The write id comes from the operator's program, so that a repeated request is recognised.

#include "base/failure.h"
#include "base/time.h"
#include "entry/fleet_follower.h"
#include "services/fleet_log.h"

#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

struct apply_request
{
    /** Revision of the configuration that the files were made from; 0 for the first one. */
    revision_number base = 0;
    /** The whole configuration. */
    std::vector<configuration_file> files;
    std::string author;
    std::string writeId;
};

enum class apply_outcome {
    Applied,
    /** The files are those in force already; nothing was written. */
    Unchanged,
    /** Another configuration was applied since the base; nothing was written. */
    Conflict,
    /** The configuration is wrong or not permitted now; nothing was written. */
    Invalid,
    /** The store does not answer; nothing was written. */
    Refused,
    /** The write may or may not take effect; ask with find(). */
    Unknown,
};

std::string_view outcomeName(apply_outcome outcome);

struct apply_result
{
    apply_outcome outcome = apply_outcome::Unknown;
    /** Revision of the configuration that is in force, or that was applied. */
    revision_number revision = 0;
    std::vector<failure> failures = {};
    /** Lines that differ between the configuration in force ("-") and the files sent ("+"), for a conflict. */
    std::string difference = {};
};

struct history_item
{
    revision_number revision = 0;
    timestamp at{};
    std::string writeId;
    configuration_applied change;
};

class configuration_service
{
public:
    /** The follower must outlive the service. */
    configuration_service(fleet_follower &follower, fleet_log log);

    apply_result apply(const apply_request &request, timestamp now);

    /** The outcome of an earlier request: Applied, Conflict (another one took its place), or Refused if none was applied since the base. */
    std::optional<apply_result> find(revision_number base, std::string_view writeId, failure &reason);

    /** Configuration changes among the kept records after this revision. */
    std::optional<std::vector<history_item>> history(revision_number after, failure &reason);

    /** Files in force, for `diff`. */
    std::optional<std::vector<configuration_file>> files(failure &reason);

private:
    std::optional<history_item> firstAfter(revision_number base, failure &reason);
    std::optional<log_record> makeRecord(const fleet_state &state, const apply_request &request, timestamp now, failure &reason);
    apply_result conflict(const fleet_state &state, const apply_request &request);

    fleet_follower &m_follower;
    std::mutex m_lock;
    fleet_log m_log;
};

} // namespace daisypass
