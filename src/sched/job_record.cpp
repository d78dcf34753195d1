#include "sched/job_record.h"

#include <algorithm>
#include <array>

namespace daisypass::sched {
namespace {

// Open occurrences of a job have this many steps together, unless fewer than minOpenOccurrences would be open.
constexpr std::size_t maxOpenSteps = 1'024;
constexpr std::size_t minOpenOccurrences = 16;

constexpr std::array<std::string_view, 5> phaseNames{"pending", "running", "completed", "failed", "cancelled"};

// Length of the critical path through the steps; with an occurrence, finished steps count as 0.
std::int64_t criticalPathOf(const std::vector<step_spec> &steps, const occurrence_record *occurrence)
{
    std::int64_t longest = 0;
    std::vector<std::int64_t> ends(steps.size(), 0);
    for (std::size_t step = 0; step < steps.size(); ++step) {
        std::int64_t begin = 0;
        for (int earlier : steps[step].after) {
            begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
        }
        const bool finished = occurrence != nullptr && occurrence->steps[step].finished();
        ends[step] = begin + (finished ? 0 : steps[step].estimateMs);
        longest = std::max(longest, ends[step]);
    }
    return longest;
}

} // namespace

std::size_t maxOpenOccurrences(const job_spec &spec)
{
    return std::max(minOpenOccurrences, maxOpenSteps / std::max<std::size_t>(1, spec.steps.size()));
}

std::string_view nameOf(job_phase phase)
{
    return phaseNames[static_cast<std::size_t>(phase)];
}

std::optional<job_phase> parsePhase(std::string_view name)
{
    const auto found = std::find(phaseNames.begin(), phaseNames.end(), name);
    return found == phaseNames.end() ? std::nullopt : std::optional<job_phase>(static_cast<job_phase>(found - phaseNames.begin()));
}

void step_record::keepDuration(const task_record &task)
{
    if (task.runDurationMs <= 0) {
        return;
    }
    if (doneDurations.size() == maxDurationsPerStep) {
        doneDurations.erase(doneDurations.begin());
    }
    doneDurations.push_back({task.completedOn, task.runDurationMs});
}

bool occurrence_record::finished() const
{
    return std::all_of(steps.begin(), steps.end(), [](const step_record &step) {
        return step.finished();
    });
}

job_record::job_record(job_spec jobSpec)
    : spec(std::move(jobSpec))
    , terms(spec.terms)
    , objective(spec.objective)
{
    criticalPathMs = criticalPathOf(spec.steps, nullptr);
    for (const step_spec &step : spec.steps) {
        callerEstimatesMs.push_back(step.estimateMs);
    }
}

void job_record::setEstimate(std::size_t step, std::int64_t estimateMs)
{
    if (spec.steps[step].estimateMs == estimateMs) {
        return;
    }
    spec.steps[step].estimateMs = estimateMs;
    estimatesChanged();
}

void job_record::estimatesChanged()
{
    criticalPathMs = criticalPathOf(spec.steps, nullptr);
    m_remainingPathMs.reset();
}

int job_record::occurrenceCount() const
{
    return std::max(1, spec.repeatCount);
}

void job_record::openDueOccurrences(time_ms unixMs)
{
    const int next = occurrences.empty() ? firstOpen : occurrences.rbegin()->first + 1;
    std::size_t ready = 0;
    for (const std::pair<const int, occurrence_record> &occurrence : occurrences) {
        ready += readyTasksOf(occurrence.second);
    }
    for (int number = next; number < occurrenceCount() && ready < occurrenceWindowTasks && occurrences.size() < maxOpenOccurrences(spec); ++number) {
        if (spec.repeatCount > 0 && dueUnixMs(number) > unixMs) {
            return;
        }
        openNextOccurrence(number);
        ready += readyTasksOf(occurrences.at(number));
    }
}

std::size_t job_record::readyTasksOf(const occurrence_record &occurrence) const
{
    std::size_t ready = 0;
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
        if (isStepReady(occurrence, static_cast<int>(step))) {
            ready += static_cast<std::size_t>(occurrence.steps[step].waiting);
        }
    }
    return ready;
}

void job_record::openOccurrencesUpTo(int last)
{
    for (int number = firstOpen; number <= std::min(last, occurrenceCount() - 1); ++number) {
        openNextOccurrence(number);
    }
}

void job_record::openNextOccurrence(int number)
{
    occurrence_record occurrence;
    occurrence.number = number;
    occurrence.dueUnixMs = spec.repeatCount > 0 ? dueUnixMs(number) : spec.acceptedUnixMs;
    for (const step_spec &step : spec.steps) {
        step_record record;
        record.tasks = task_table(static_cast<std::size_t>(step.taskCount));
        record.waiting = step.taskCount;
        occurrence.steps.push_back(std::move(record));
    }
    occurrences.emplace(number, std::move(occurrence));
    m_remainingPathMs.reset();
}

time_ms job_record::dueUnixMs(int number) const
{
    return spec.firstAtUnixMs + number * spec.intervalMs;
}

bool job_record::isStepReady(const occurrence_record &occurrence, int step) const
{
    const std::vector<int> &after = spec.steps[static_cast<std::size_t>(step)].after;
    return std::all_of(after.begin(), after.end(), [&](int earlier) {
        return occurrence.steps[static_cast<std::size_t>(earlier)].finished();
    });
}

const step_spec *job_record::stepOf(const task_id &id) const
{
    const bool inRange = id.step >= 0 && id.step < static_cast<int>(spec.steps.size());
    return inRange ? &spec.steps[static_cast<std::size_t>(id.step)] : nullptr;
}

bool job_record::isOpen(const task_id &id) const
{
    const step_spec *step = stepOf(id);
    return step != nullptr && id.index >= 0 && id.index < step->taskCount && occurrences.contains(id.occurrence);
}

task_record *job_record::find(const task_id &id)
{
    if (!isOpen(id)) {
        return nullptr;
    }
    return &occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)].tasks.record(static_cast<std::size_t>(id.index));
}

const task_record *job_record::find(const task_id &id) const
{
    if (!isOpen(id)) {
        return nullptr;
    }
    return &occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)].tasks[static_cast<std::size_t>(id.index)];
}

bool job_record::anyOccupying() const
{
    for (const std::pair<const int, occurrence_record> &occurrence : occurrences) {
        for (const step_record &step : occurrence.second.steps) {
            if (step.waiting + step.done < static_cast<int>(step.tasks.size())) {
                return true;
            }
        }
    }
    return false;
}

bool job_record::dropFinished()
{
    while (!occurrences.empty() && occurrences.begin()->first == firstOpen && occurrences.begin()->second.finished()) {
        occurrences.erase(occurrences.begin());
        ++firstOpen;
        m_remainingPathMs.reset();
    }
    return firstOpen >= occurrenceCount();
}

double job_record::waitingWork() const
{
    double work = 0;
    for (const std::pair<const int, occurrence_record> &occurrence : occurrences) {
        for (std::size_t step = 0; step < occurrence.second.steps.size(); ++step) {
            const step_spec &kind = spec.steps[step];
            work += static_cast<double>(occurrence.second.steps[step].waiting) * static_cast<double>(kind.estimateMs) * static_cast<double>(kind.demand.cpu)
                / 1'000.0;
        }
    }
    return work;
}

std::int64_t job_record::remainingCriticalPathMs()
{
    if (!m_remainingPathMs) {
        m_remainingPathMs = 0;
        for (const std::pair<const int, occurrence_record> &occurrence : occurrences) {
            m_remainingPathMs = std::max(*m_remainingPathMs, criticalPathOf(spec.steps, &occurrence.second));
        }
    }
    return *m_remainingPathMs;
}

void job_record::trim()
{
    spec.payload = {};
    occurrences.clear();
}

bool job_record::hasLongRunning() const
{
    return std::any_of(spec.steps.begin(), spec.steps.end(), [](const step_spec &step) {
        return step.longRunning;
    });
}

} // namespace daisypass::sched
