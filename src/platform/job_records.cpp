// Jobs: the submissions of callers, and the jobs that are stored.

#include "platform/records.h"

#include "platform/json_cost.h"
#include "platform/record_errors.h"
#include "platform/wire_json.h"
#include "sched/job_record.h"
#include "sched/kept_terms.h"

#include <algorithm>
#include <limits>

namespace daisypass {
namespace {

using sched::step_spec;
using wire::json;

constexpr int maxTasksPerStep = 10'000;
constexpr int maxSteps = 1'000;
// Greater demands and times are refused, so that sums over all tasks of many jobs fit in 64 bits.
constexpr std::int64_t maxDemand = 1'000'000'000;
constexpr std::int64_t maxTimeMs = 1'000'000'000'000;
constexpr std::int64_t maxDateUnixMs = 1'000'000'000'000'000;

std::int64_t readWithin(const json &item, const char *name, std::int64_t greatest)
{
    return std::clamp<std::int64_t>(wire::integerIn(item, name).value_or(0), 0, greatest);
}

sched::resources readDemand(const json &item)
{
    return {readWithin(item, "Cpu", maxDemand), readWithin(item, "MemMb", maxDemand), readWithin(item, "Gpu", maxDemand)};
}

std::vector<int> readAfter(const json &item)
{
    std::vector<int> after;
    const json *list = wire::arrayIn(item, "After");
    if (list == nullptr) {
        return after;
    }
    for (const json &index : *list) {
        if (index.is_number_integer()) {
            after.push_back(wire::toInt(index));
        }
    }
    return after;
}

step_spec readStep(const json &item)
{
    step_spec step;
    step.taskCount = wire::intIn(item, "Count").value_or(1);
    step.demand = readDemand(item);
    step.estimateMs = readWithin(item, "EstimateMs", maxTimeMs);
    step.after = readAfter(item);
    step.requiredLabel = wire::stringIn(item, "Requires").value_or("");
    // The platform's "Affinity" is the rack that holds the step's data.
    step.dataRack = wire::stringIn(item, "Affinity").value_or("");
    // The platform's "AntiAffinity" is the maximum number of the step's tasks on one executor.
    step.maxTasksPerExecutor = wire::intIn(item, "AntiAffinity").value_or(0);
    step.gang = wire::boolIn(item, "Gang");
    step.sameRack = wire::boolIn(item, "SameRack");
    step.checkpointing = wire::boolIn(item, "Checkpointing");
    step.speculative = wire::boolIn(item, "Speculative");
    step.longRunning = wire::boolIn(item, "LongRunning");
    step.bestEffortCpu = wire::boolIn(item, "Fills");
    step.image = wire::stringIn(item, "Image").value_or("");
    step.latencyTargetMs = readWithin(item, "TargetMs", maxTimeMs);
    // "AllowMiss" is the maximum number of tasks that the system may make unavailable at a time.
    step.allowedUnavailable = wire::intIn(item, "AllowMiss").value_or(0);
    return step;
}

bool stepIsValid(const step_spec &step, int index, failure &reason)
{
    if (step.taskCount < 1 || step.taskCount > maxTasksPerStep) {
        reason = wrongFieldType("Count", "1 to " + std::to_string(maxTasksPerStep));
        return false;
    }
    for (int earlier : step.after) {
        if (earlier < 0 || earlier >= index) {
            reason = wrongFieldType("After", "numbers of earlier steps");
            return false;
        }
    }
    return true;
}

// A lease holder keeps a record of each task in memory.
bool sizeIsValid(const std::vector<step_spec> &steps, failure &reason)
{
    if (sched::taskCountOf(steps) > sched::maxTasksPerJob) {
        reason = wrongFieldType("Steps", "at most " + std::to_string(sched::maxTasksPerJob) + " tasks");
        return false;
    }
    return true;
}

// Whether the member is absent, no number, or from 0 to `greatest`.
bool isWithin(const json &item, const char *name, std::int64_t greatest, failure &reason)
{
    const std::optional<double> number = wire::numberIn(item, name);
    if (number && (*number < 0 || *number > static_cast<double>(greatest))) {
        reason = failure{failure_code::OutOfRange, name, {}, "0 to " + std::to_string(greatest)};
        return false;
    }
    return true;
}

bool amountsAreValid(const json &step, failure &reason)
{
    for (const char *name : {"Cpu", "MemMb", "Gpu"}) {
        if (!isWithin(step, name, maxDemand, reason)) {
            return false;
        }
    }
    return isWithin(step, "EstimateMs", maxTimeMs, reason) && isWithin(step, "TargetMs", maxTimeMs, reason);
}

// Whether a submission's numbers can be counted with. Jobs that have been accepted are read with the nearest numbers that can.
bool numbersAreValid(const json &body, failure &reason)
{
    const json *steps = wire::arrayIn(body, "Steps");
    const bool amountsValid = steps == nullptr || std::all_of(steps->begin(), steps->end(), [&reason](const json &step) {
                                  return amountsAreValid(step, reason);
                              });
    return amountsValid && isWithin(body, "FirstMs", maxDateUnixMs, reason) && isWithin(body, "IntervalMs", maxTimeMs, reason);
}

bool timesAreValid(std::int64_t repeatCount, std::int64_t intervalMs, failure &reason)
{
    if (repeatCount < 0 || repeatCount > std::numeric_limits<int>::max()) {
        reason = wrongFieldType("RepeatCount", "0 to " + std::to_string(std::numeric_limits<int>::max()));
        return false;
    }
    if (intervalMs < 0) {
        reason = wrongFieldType("IntervalMs", "0 or more");
        return false;
    }
    return true;
}

void putNonZero(json &item, const char *name, std::int64_t value)
{
    if (value != 0) {
        item[name] = value;
    }
}

void putNonEmpty(json &item, const char *name, const std::string &value)
{
    if (!value.empty()) {
        item[name] = value;
    }
}

void putTrue(json &item, const char *name, bool value)
{
    if (value) {
        item[name] = true;
    }
}

json writeStep(const step_spec &step)
{
    json item{{"Count", step.taskCount}};
    putNonZero(item, "Cpu", step.demand.cpu);
    putNonZero(item, "MemMb", step.demand.memoryMb);
    putNonZero(item, "Gpu", step.demand.gpu);
    putNonZero(item, "EstimateMs", step.estimateMs);
    if (!step.after.empty()) {
        item["After"] = step.after;
    }
    putNonEmpty(item, "Requires", step.requiredLabel);
    putNonEmpty(item, "Affinity", step.dataRack);
    putNonZero(item, "AntiAffinity", step.maxTasksPerExecutor);
    putTrue(item, "Gang", step.gang);
    putTrue(item, "SameRack", step.sameRack);
    putTrue(item, "Checkpointing", step.checkpointing);
    putTrue(item, "Speculative", step.speculative);
    putTrue(item, "LongRunning", step.longRunning);
    putTrue(item, "Fills", step.bestEffortCpu);
    putNonEmpty(item, "Image", step.image);
    putNonZero(item, "TargetMs", step.latencyTargetMs);
    putNonZero(item, "AllowMiss", step.allowedUnavailable);
    return item;
}

std::optional<sched::job_spec> readSubmission(const json &body, failure &reason)
{
    const json *steps = wire::arrayIn(body, "Steps");
    if (steps == nullptr || steps->empty() || steps->size() > maxSteps) {
        reason = wrongFieldType("Steps", "1 to " + std::to_string(maxSteps) + " steps");
        return std::nullopt;
    }
    sched::job_spec job;
    job.payload = wire::stringIn(body, "Spec").value_or("");
    for (const json &item : *steps) {
        step_spec step = readStep(item);
        if (!stepIsValid(step, static_cast<int>(job.steps.size()), reason)) {
            return std::nullopt;
        }
        job.steps.push_back(std::move(step));
    }
    const std::int64_t repeatCount = wire::integerIn(body, "RepeatCount").value_or(0);
    job.firstAtUnixMs = std::min(wire::integerIn(body, "FirstMs").value_or(0), maxDateUnixMs);
    job.intervalMs = std::min(wire::integerIn(body, "IntervalMs").value_or(0), maxTimeMs);
    if (!sizeIsValid(job.steps, reason) || !timesAreValid(repeatCount, job.intervalMs, reason)) {
        return std::nullopt;
    }
    job.repeatCount = static_cast<int>(repeatCount);
    return job;
}

} // namespace

std::optional<sched::job_spec> readSubmission(std::string_view text, failure &reason)
{
    if (!wire::isCheapToParse(text)) {
        reason
            = failure{failure_code::OutOfRange,
                      "submission",
                      {},
                      "at most " + std::to_string(wire::maxJsonParts) + " fields, objects and lists, nested " + std::to_string(wire::maxJsonDepth) + " deep"};
        return std::nullopt;
    }
    const std::optional<json> body = parseRecord(text, reason);
    return body && numbersAreValid(*body, reason) ? readSubmission(*body, reason) : std::nullopt;
}

std::string writeJob(const sched::job_spec &job)
{
    json body{{"Spec", job.payload}, {"Steps", json::array()}, {"host", job.queue.host}, {"prefix", job.queue.prefix}};
    for (const step_spec &step : job.steps) {
        body["Steps"].push_back(writeStep(step));
    }
    putNonZero(body, "RepeatCount", job.repeatCount);
    putNonZero(body, "FirstMs", job.firstAtUnixMs);
    putNonZero(body, "IntervalMs", job.intervalMs);
    body["accepted_unix_ms"] = job.acceptedUnixMs;
    body["pool"] = job.pool;
    putNonEmpty(body, "tenant", job.tenant);
    sched::writeKeptTerms(body, job.terms, job.objective);
    return wire::dump(body);
}

std::optional<sched::job_spec> readJob(std::string_view text, failure &reason)
{
    const std::optional<json> body = parseRecord(text, reason);
    std::optional<sched::job_spec> job = body ? readSubmission(*body, reason) : std::nullopt;
    if (!job) {
        return std::nullopt;
    }
    job->queue = {wire::stringIn(*body, "host").value_or(""), wire::stringIn(*body, "prefix").value_or("")};
    job->acceptedUnixMs = wire::integerIn(*body, "accepted_unix_ms").value_or(0);
    job->pool = wire::stringIn(*body, "pool").value_or("");
    job->tenant = wire::stringIn(*body, "tenant").value_or("");
    job->terms = sched::readTerms(*body);
    job->objective = sched::readObjective(*body);
    return job;
}

} // namespace daisypass
