#pragma once

// Converts records with the platform's field names: reads the operator's configuration and waves, the executors' registry entries, the
// fleet's VMs, and callers' submissions and keys; encodes wave statuses and answers to callers.
//
// Each read function returns nothing for a record that it can't use, and sets `reason`.

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
/** `key` is the row's key in the operator's table, such as "wave/3". Returns nothing for keys of other rows, without a reason. */
std::optional<sched::wave_request> readWave(std::string_view key, std::string_view text, failure &reason);
/** The key of a wave's status row. */
std::string waveStatusKey(std::int64_t wave);
std::string encodeWaveStatus(std::int64_t wave, bool completed);

/** `id` is the row's key. Fails if a required field is missing or invalid. */
std::optional<sched::executor_entry> readExecutor(std::string_view id, std::string_view text, failure &reason);
std::optional<sched::vm_entry> readVm(const wire::json &item);

/**
 * Reads a submission's body. The caller must set the job's id, queue, pool, terms and time of acceptance. Demands and times outside the limits
 * that docs/OPERATIONS.md names fail with OutOfRange.
 */
std::optional<sched::job_spec> readSubmission(std::string_view body, failure &reason);
/** The body of an answer with a job's state. */
std::string encodeJobState(std::string_view state);
std::string encodeWaitingCount(std::int64_t waiting);
/** Request header with the time for which the caller waits for an answer, in ms. */
inline constexpr std::string_view deadlineHeader = "X-Daisypass-Deadline-Ms";
/** Request header with the caller's key. */
inline constexpr std::string_view keyHeader = "Authorization";
/** The key in the header's value, "Bearer KEY"; nothing if the value has another form. The result refers to `value`. */
std::optional<std::string_view> readKey(std::string_view value);

/** Encodes a job for its stored row. readJob also accepts rows that earlier versions wrote. */
std::string writeJob(const sched::job_spec &job);
std::optional<sched::job_spec> readJob(std::string_view text, failure &reason);

} // namespace daisypass
