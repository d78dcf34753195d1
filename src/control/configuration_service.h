#pragma once

// Applies the configurations that operators send. A request takes effect at most once, however often it is repeated, and an outcome
// that the store has not confirmed is reported as Unknown.
//
//     configuration_service service(follower, log);
//     apply_result result = service.apply(request, now);
//
// Calls block on the store. The client chooses the write id and reuses it when it retries, so that a repeated request is recognised.

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
    /** Revision of the configuration that the files are based on; 0 for the first one. */
    revision_number base = 0;
    /** All files of the configuration, including those that did not change. */
    std::vector<configuration_file> files;
    std::string author;
    std::string writeId;
};

enum class apply_outcome {
    Applied,
    /** The files equal the configuration in force; nothing was written. */
    Unchanged,
    /** Another configuration was applied since the base; nothing was written. */
    Conflict,
    /** The configuration is invalid, or the fleet state does not permit it now; nothing was written. */
    Invalid,
    /** The store did not answer, or other appends won every race; nothing was written. */
    Refused,
    /** The write may have taken effect or may still do so; find() looks up the outcome later. */
    Unknown,
};

std::string_view outcomeName(apply_outcome outcome);

struct apply_result
{
    apply_outcome outcome = apply_outcome::Unknown;
    /** Revision of the configuration that was applied, or else of the one in force; 0 if it is not known. */
    revision_number revision = 0;
    std::vector<failure> failures = {};
    /** Only for a conflict: the lines that differ between the configuration in force ("-") and the files sent ("+"). */
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

    /**
     * Looks up the outcome of an earlier apply(): Applied, Conflict if only other configurations were applied since the base, or
     * Refused if none was. Fails like fleet_log::readAfter().
     */
    std::optional<apply_result> find(revision_number base, std::string_view writeId, failure &reason);

    /** Configuration changes in the log records after this revision, oldest first. Fails like fleet_log::readAfter(). */
    std::optional<std::vector<history_item>> history(revision_number after, failure &reason);

    /** Files of the configuration in force. Fails like fleet_log::file(). */
    std::optional<std::vector<configuration_file>> files(failure &reason);

private:
    std::optional<history_item> firstChangeAfter(revision_number base, failure &reason);
    std::optional<log_record> makeRecord(const fleet_state &state, const apply_request &request, timestamp now, failure &reason);
    apply_result conflict(const fleet_state &state, const apply_request &request);

    fleet_follower &m_follower;
    std::mutex m_lock;
    fleet_log m_log;
};

} // namespace daisypass
