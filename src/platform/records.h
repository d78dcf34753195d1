#pragma once

// Decodes what others write in the platform's names: the operator's configuration and waves, the executors' entries, the
// fleet's VMs, and callers' submissions; encodes what others read.
//
// Every reader returns nothing for a record that it can't use; `reason` then says why.

#include "base/failure.h"
#include "platform/wire_json.h"
#include "sched/model.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisypass {

/** Tables that the platform reads or writes. */
inline constexpr const char *operatorTable = "op";
inline constexpr const char *executorTable = "servers";
inline constexpr const char *statusTable = "status";
inline constexpr const char *configurationKey = "config";

std::optional<sched::configuration_view> readConfiguration(std::string_view text, failure &reason);
/** Key is the row's key in the operator's table, such as "wave/3"; nothing for other keys. */
std::optional<sched::wave_request> readWave(std::string_view key, std::string_view text, failure &reason);
/** The key of a wave's status row. */
std::string waveStatusKey(std::int64_t wave);
std::string encodeWaveStatus(std::int64_t wave, bool completed);

/** Id is the row's key. An entry with a missing or mistyped field names no executor to use. */
std::optional<sched::executor_entry> readExecutor(std::string_view id, std::string_view text, failure &reason);
std::optional<sched::vm_entry> readVm(const wire::json &item);

/** A submission's body. The id, the queue and the time are the caller's to fill in. */
std::optional<sched::job_spec> readSubmission(std::string_view body, failure &reason);
/** The body of an answer about a job. */
std::string encodeJobState(std::string_view state);
std::string encodeWaitingCount(std::int64_t waiting);
/** The header in which a caller says how long it waits, in ms. */
inline constexpr std::string_view deadlineHeader = "X-Daisypass-Deadline-Ms";

/** A job as it is stored. Reads what it wrote, in any earlier version too. */
std::string writeJob(const sched::job_spec &job);
std::optional<sched::job_spec> readJob(std::string_view text, failure &reason);

} // namespace daisypass
