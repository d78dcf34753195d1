#pragma once

// The record that a stand-in target keeps of each run: one JSON object per line, in the answer to GET /admin/executions and in the
// file of --record. A run that was in progress when the process ended has only its first line, with result Running.

#include "base/failure.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

enum class execution_result {
    Running,
    Completed,
    Failed,
    /** A reboot ended the run. */
    CutOff,
};

struct execution_record
{
    std::string target;
    /** Index of the run among the runs of this target since its process started. */
    std::uint64_t sequence = 0;
    std::string requestId;
    std::string idempotencyKey;
    /** The first bytes of the request's body; daisypass-load puts the submission's token there. */
    std::string body;
    /** Microseconds since 1970-01-01 UTC. */
    std::int64_t startUs = 0;
    std::int64_t endUs = 0;
    execution_result result = execution_result::Running;
    /** Time from the order to leave to the start of the run; unset if the target was not leaving. */
    std::optional<std::int64_t> afterLeavingMs;
};

std::string encodeExecution(const execution_record &record);

/** Decodes lines; a later line about the same run replaces an earlier one. A last line without a line break is ignored. Fails with SyntaxError. */
std::optional<std::vector<execution_record>> decodeExecutions(std::string_view lines, failure &reason);

} // namespace daisypass
