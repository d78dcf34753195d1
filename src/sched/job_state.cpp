#include "sched/job_state.h"

#include "base/json_text.h"
#include "sched/kept_terms.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace daisypass::sched {
namespace {

using json = nlohmann::json;

// A task in a row: [occurrence, step, index, kind, run, failed runs, executor, checkpoint]. In the rows of a divided state, a ninth element
// is the number of consecutive tasks to which the others apply.
constexpr std::size_t taskRowSize = 8;
// The key in the first row of a divided state.
constexpr const char *dividedKey = "divided";
constexpr std::size_t crashRowSize = 5;
constexpr int kindWaiting = 0;
constexpr int kindPlaced = 1;
constexpr int kindDone = 2;

int kindOf(const task_record &task)
{
    if (task.phase == task_phase::Done) {
        return kindDone;
    }
    return task.occupies() ? kindPlaced : kindWaiting;
}

bool isUntouched(const task_record &task)
{
    return task.phase == task_phase::Waiting && task.run == 0;
}

void appendNumber(std::string &row, int value)
{
    row += std::to_string(value);
    row += ',';
}

void appendNumbers(std::string &row, const std::vector<int> &numbers)
{
    row += '[';
    for (const int number : numbers) {
        appendSeparator(row);
        row += std::to_string(number);
    }
    row += ']';
}

// Whether the tasks' entries differ in their indices only.
bool haveEqualEntries(const task_record &one, const task_record &other)
{
    return kindOf(one) == kindOf(other) && one.run == other.run && one.failedRuns == other.failedRuns && one.executor == other.executor
        && one.checkpoint == other.checkpoint;
}

// A checkpoint that takes more bytes than `maxBytes` is left out.
void appendCheckpoint(std::string &row, const std::string &checkpoint, std::size_t maxBytes)
{
    const std::size_t before = row.size();
    appendJsonString(row, checkpoint);
    if (row.size() - before > maxBytes) {
        row.resize(before);
        appendJsonString(row, "");
    }
}

void appendTask(std::string &row,
                int occurrence,
                std::size_t step,
                std::size_t index,
                const task_record &task,
                std::size_t count = 1,
                std::size_t maxCheckpointBytes = std::numeric_limits<std::size_t>::max())
{
    appendSeparator(row);
    row += '[';
    appendNumber(row, occurrence);
    appendNumber(row, static_cast<int>(step));
    appendNumber(row, static_cast<int>(index));
    appendNumber(row, kindOf(task));
    appendNumber(row, task.run);
    appendNumbers(row, task.failedRuns);
    row += ',';
    appendJsonString(row, task.executor);
    row += ',';
    appendCheckpoint(row, task.checkpoint, maxCheckpointBytes);
    if (count > 1) {
        row += ',' + std::to_string(count);
    }
    row += ']';
}

// [occurrence, step, index, runs under which the executor crashed with other suspects, runs under which it crashed as the only one]
void appendCrashes(std::string &row, int occurrence, std::size_t step, std::size_t index, const task_record &task)
{
    appendSeparator(row);
    row += '[';
    appendNumber(row, occurrence);
    appendNumber(row, static_cast<int>(step));
    appendNumber(row, static_cast<int>(index));
    appendNumbers(row, task.suspectRuns);
    row += ',';
    appendNumbers(row, task.crashRuns);
    row += ']';
}

std::vector<int> readNumbers(const json &row)
{
    std::vector<int> numbers;
    for (const json &number : row) {
        if (number.is_number_integer()) {
            numbers.push_back(number.get<int>());
        }
    }
    return numbers;
}

void readCrashes(const json &row, job_record &job)
{
    const bool readable = row.is_array() && row.size() == crashRowSize && row[0].is_number_integer() && row[1].is_number_integer() && row[2].is_number_integer()
        && row[3].is_array() && row[4].is_array();
    task_record *task = readable ? job.find({job.spec.id, row[0].get<int>(), row[1].get<int>(), row[2].get<int>()}) : nullptr;
    if (task != nullptr) {
        task->suspectRuns = readNumbers(row[3]);
        task->crashRuns = readNumbers(row[4]);
    }
}

// Takes back what an older row of the same job had about the task.
void forget(step_record &step, task_record &task)
{
    if (task.phase == task_phase::Done) {
        --step.done;
        ++step.waiting;
    } else if (task.occupies()) {
        ++step.waiting;
    }
    task = {};
}

bool readTask(const json &row, job_record &job, int offset)
{
    for (std::size_t i = 0; i < 5; ++i) {
        if (!row[i].is_number_integer()) {
            return false;
        }
    }
    if (!row[5].is_array() || !row[6].is_string() || !row[7].is_string()) {
        return false;
    }
    const int index = row[2].get<int>() + offset;
    task_record *task = job.find({job.spec.id, row[0].get<int>(), row[1].get<int>(), index});
    if (task == nullptr) {
        // The occurrence is finished and was dropped.
        return true;
    }
    step_record &step = job.occurrences.at(row[0].get<int>()).steps[static_cast<std::size_t>(row[1].get<int>())];
    forget(step, *task);
    const int kind = row[3].get<int>();
    // A placement alone doesn't show that the start order reached the executor.
    job.begun = job.begun || kind == kindDone || !row[5].empty() || !row[7].get_ref<const std::string &>().empty();
    task->run = row[4].get<int>();
    for (const json &failedRun : row[5]) {
        if (failedRun.is_number_integer()) {
            task->countFailure(failedRun.get<int>());
        }
    }
    task->executor = row[6].get<std::string>();
    task->checkpoint = row[7].get<std::string>();
    // Former versions stored a long-running task as done when a run had ended so. It is still to be run.
    const bool lasts = job.spec.steps[static_cast<std::size_t>(row[1].get<int>())].longRunning;
    if (kind == kindDone && !lasts) {
        step.tasks.finish(static_cast<std::size_t>(index));
        ++step.done;
        --step.waiting;
        job.stepFinished();
    } else if (kind == kindPlaced) {
        task->phase = task_phase::Unconfirmed;
        task->inherited = true;
        task->throttleUnknown = true;
        --step.waiting;
    }
    return true;
}

bool readTasks(const json &row, job_record &job)
{
    const bool counted = row.is_array() && row.size() == taskRowSize + 1 && row[taskRowSize].is_number_integer();
    if (!counted && (!row.is_array() || row.size() != taskRowSize)) {
        return false;
    }
    const std::int64_t count = counted ? row[taskRowSize].get<std::int64_t>() : 1;
    if (count < 1 || count > static_cast<std::int64_t>(maxTasksPerRow)) {
        return false;
    }
    for (int offset = 0; offset < count; ++offset) {
        if (!readTask(row, job, offset)) {
            return false;
        }
    }
    return true;
}

// What a row has about tasks, as JSON lists that aren't closed yet.
struct task_lists
{
    std::string tasks = "[";
    std::string crashes = "[";

    bool haveTasks() const
    {
        return tasks.size() > 1;
    }
};

// The row of an ended job has only the runs that may still be on an executor.
bool isNeeded(const job_record &job, const task_record &task)
{
    return job.ended() ? task.occupies() : !isUntouched(task);
}

void appendCrashesIfAny(task_lists &lists, const job_record &job, int occurrence, std::size_t step, std::size_t index)
{
    const task_record &task = job.occurrences.at(occurrence).steps[step].tasks[index];
    if (task.isSuspect() && !job.ended()) {
        appendCrashes(lists.crashes, occurrence, step, index, task);
    }
}

// Appends the lists as members of a JSON object that isn't closed yet.
void appendLists(std::string &row, const task_lists &lists)
{
    if (lists.haveTasks()) {
        appendSeparator(row);
        row += "\"tasks\":" + lists.tasks + ']';
    }
    if (lists.crashes.size() > 1) {
        appendSeparator(row);
        row += "\"crashes\":" + lists.crashes + ']';
    }
}

// Only jobs of former versions have terms or an objective that their submission doesn't have.
void appendKeptTerms(std::string &row, const job_record &job)
{
    const bool keepsTerms = job.terms && !job.spec.terms;
    const bool keepsObjective = job.objective && !job.spec.objective;
    if (!keepsTerms && !keepsObjective) {
        return;
    }
    json kept = json::object();
    writeKeptTerms(kept, keepsTerms ? job.terms : std::nullopt, keepsObjective ? job.objective : std::nullopt);
    for (auto member = kept.begin(); member != kept.end(); ++member) {
        row += ",\"" + member.key() + "\":" + member.value().dump();
    }
}

// A row with the job's phase; the JSON object isn't closed yet.
std::string beginState(const job_record &job)
{
    std::string row = "{\"phase\":";
    appendJsonString(row, nameOf(job.phase));
    if (job.firstOpen > 0) {
        row += ",\"first_open\":" + std::to_string(job.firstOpen);
    }
    if (!job.ended()) {
        appendKeptTerms(row, job);
    }
    return row;
}

int lastOccurrenceIn(const json &tasks)
{
    int last = -1;
    for (const json &task : tasks) {
        if (task.is_array() && !task.empty() && task[0].is_number_integer()) {
            last = std::max(last, task[0].get<int>());
        }
    }
    return last;
}

bool readLists(const json &tasks, const json &crashes, job_record &job)
{
    const bool readable = std::all_of(tasks.begin(), tasks.end(), [&](const json &task) {
        return readTasks(task, job);
    });
    for (const json &crash : crashes) {
        readCrashes(crash, job);
    }
    return readable;
}

// The name of the phase in a row; empty if the row can't be parsed or has none.
std::string phaseOf(const json &row)
{
    if (!row.is_object() || !row.contains("phase") || !row["phase"].is_string()) {
        return {};
    }
    return row["phase"].get<std::string>();
}

} // namespace

std::string writeState(const job_record &job)
{
    task_lists lists;
    for (const std::pair<const int, occurrence_record> &occurrence : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.second.steps.size(); ++step) {
            const task_table &records = occurrence.second.steps[step].tasks;
            for (std::size_t index = 0; index < records.size(); ++index) {
                if (isNeeded(job, records[index])) {
                    appendTask(lists.tasks, occurrence.first, step, index, records[index]);
                }
                appendCrashesIfAny(lists, job, occurrence.first, step, index);
            }
        }
    }
    std::string row = beginState(job);
    appendLists(row, lists);
    row += '}';
    return row;
}

// Versions that don't know a divided state can't read the empty task, and leave the job to a later lease holder. Without it they would run
// all its tasks again.
std::string writeFirstRow(const job_record &job)
{
    return beginState(job) + ",\"" + dividedKey + "\":true,\"tasks\":[[]]}";
}

std::string writeTasks(const job_record &job, int occurrence, std::size_t first, std::size_t end, std::size_t maxCheckpointBytes)
{
    task_lists lists;
    const std::vector<step_record> &steps = job.occurrences.at(occurrence).steps;
    std::size_t before = 0;
    for (std::size_t step = 0; step < steps.size() && before < end; ++step) {
        const task_table &records = steps[step].tasks;
        const std::size_t stop = std::min(records.size(), end - before);
        std::size_t index = first > before ? first - before : 0;
        while (index < stop) {
            std::size_t next = index + 1;
            while (next < stop && haveEqualEntries(records[index], records[next])) {
                ++next;
            }
            if (isNeeded(job, records[index])) {
                appendTask(lists.tasks, occurrence, step, index, records[index], next - index, maxCheckpointBytes);
            }
            for (; index < next; ++index) {
                appendCrashesIfAny(lists, job, occurrence, step, index);
            }
        }
        before += records.size();
    }
    if (!lists.haveTasks()) {
        return {};
    }
    std::string row = "{";
    appendLists(row, lists);
    row += '}';
    return row;
}

std::string phaseIn(std::string_view row)
{
    return phaseOf(json::parse(row, nullptr, false));
}

bool isDivided(std::string_view row)
{
    // Few rows are divided, so the others aren't parsed.
    if (row.find(dividedKey) == std::string_view::npos) {
        return false;
    }
    const json value = json::parse(row, nullptr, false);
    return value.is_object() && value.value(dividedKey, json(false)) == json(true);
}

bool readState(std::string_view row, job_record &job)
{
    return readState(row, {}, job);
}

bool readState(std::string_view row, const std::map<std::string, std::string> &taskRows, job_record &job)
{
    json value = json::parse(row, nullptr, false);
    if (row.empty() && !taskRows.empty()) {
        // The rows with tasks of a new job are stored before its first row.
        value = json{{"phase", nameOf(job_phase::Running)}, {dividedKey, true}};
    }
    const std::optional<job_phase> phase = parsePhase(phaseOf(value));
    if (!phase) {
        return false;
    }
    job.phase = *phase;
    job.firstOpen = value.value("first_open", 0);
    job.terms = job.spec.terms ? job.spec.terms : readTerms(value);
    job.objective = job.spec.objective ? job.spec.objective : readObjective(value);
    job.occurrences.clear();
    // The rows with tasks are stored before the first row leaves its own out, so what they have is newer.
    std::vector<json> rows;
    if (!value.contains(dividedKey)) {
        rows.push_back(value);
    }
    for (const std::pair<const std::string, std::string> &taskRow : taskRows) {
        rows.push_back(json::parse(taskRow.second, nullptr, false));
        if (!rows.back().is_object()) {
            return false;
        }
    }
    int lastOccurrence = job.spec.repeatCount > 0 ? job.firstOpen - 1 : 0;
    for (const json &one : rows) {
        lastOccurrence = std::max(lastOccurrence, lastOccurrenceIn(one.value("tasks", json::array())));
    }
    job.begun = job.firstOpen > 0;
    job.openOccurrencesUpTo(lastOccurrence);
    bool readable = true;
    for (const json &one : rows) {
        readable = readLists(one.value("tasks", json::array()), one.value("crashes", json::array()), job) && readable;
    }
    return readable;
}

} // namespace daisypass::sched
