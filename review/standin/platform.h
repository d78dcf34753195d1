#pragma once

// Stand-ins of the platform: the store, executors and the fleet service, as the users' PROTOCOL.md describes them. All of them write what
// they see to one record, from which a case judges its rule.

#include "wire.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <fstream>
#include <memory>
#include <tuple>

namespace review {

using json = nlohmann::json;

inline constexpr std::int64_t heartbeatMs = 1'500;
inline constexpr std::int64_t maxHoldMs = 6'000;
inline constexpr std::int64_t moveMs = 1'500;
inline constexpr std::int64_t maintenanceMs = 2'000;
/** A stop is carried out within this time, well inside StopMs. */
inline constexpr std::int64_t stopMs = 50;
inline constexpr std::size_t rowBytes = 65'536;

/** One run of a task as its executor saw it. */
struct run_span
{
    std::string executor;
    std::string task;
    int run = 0;
    std::int64_t startedAt = 0;
    /** -1 while it runs. */
    std::int64_t endedAt = -1;
    std::string how;
    /** When AckCursor reached the end; -1 if it hasn't. */
    std::int64_t notedAt = -1;
};

/** Writes record.txt and keeps the runs. */
class record
{
public:
    explicit record(const std::string &file);
    void line(const std::string &text);
    std::size_t started(const std::string &executor, const std::string &task, int run);
    void ended(std::size_t span, const std::string &how);
    void noted(std::size_t span);
    std::vector<run_span> runs() const;
    /** Runs of tasks whose names begin so. */
    std::vector<run_span> runsOf(const std::string &prefix) const;

private:
    mutable std::mutex m_lock;
    std::ofstream m_file;
    std::vector<run_span> m_runs;
};

/** What the store does with a transaction. */
enum class tx_fate {
    Answered,
    /** It is done, and the answer is lost. */
    AnswerLost,
    /** The answer is lost, and it is done some seconds later, if its condition still holds. */
    DoneLate,
    /** It isn't done, and is answered with 503. */
    Refused,
};

class store
{
public:
    explicit store(record &log);

    std::optional<response> handle(const request &call);
    void put(const std::string &table, const std::string &key, const json &value);
    void remove(const std::string &table, const std::string &key);
    /** Decides what becomes of each transaction; `body` is the call's body. */
    void setFate(std::function<tx_fate(const json &body)> fate);
    /** The calls for which this returns true are answered with 503. */
    void setRefusal(std::function<bool(const request &call)> refuses);
    void setLateMs(std::int64_t ms)
    {
        m_lateMs = ms;
    }

private:
    using key_type = std::tuple<std::string, std::string, std::string>;
    struct row
    {
        std::string value;
        std::int64_t version = 0;
    };

    static key_type keyOf(const json &item);
    json rowObject(const key_type &key) const;
    response transact(const json &body);
    response apply(const json &body);
    response get(const request &call);
    response feed(const request &call);

    record &m_log;
    std::mutex m_lock;
    std::condition_variable m_changed;
    std::map<key_type, row> m_rows;
    std::map<key_type, std::int64_t> m_changes;
    std::int64_t m_version = 0;
    std::int64_t m_lateMs = 3'000;
    std::function<tx_fate(const json &)> m_fate;
    std::function<bool(const request &)> m_refuses;
};

/** What a run will do: its duration, or -1 for one that lasts, and how it ends. */
struct run_plan
{
    std::int64_t durationMs = 300;
    std::string how = "done";
};

using planner = std::function<run_plan(const std::string &task, int run, const std::string &spec)>;

struct executor_options
{
    std::string id;
    std::string pool;
    std::string machine;
    std::string rack;
    std::int64_t cpu = 32'000;
    std::int64_t memoryMb = 65'536;
};

class executor
{
public:
    executor(store &entries, record &log, executor_options options, planner plan);
    ~executor();

    const executor_options &options() const
    {
        return m_options;
    }
    bool isUp() const
    {
        return m_up;
    }
    json entry();
    /** Ends everything that runs, and removes the entry. */
    void leave();
    /** Ends everything that runs without listing it, refuses connections, and starts again under the same id some time later. */
    void crash(std::int64_t downMs);
    /** Which calls are left unanswered. They are carried out only by carryOutLate(), by whichever life is up then. */
    void setLate(std::function<bool(const request &call)> isLate);
    /** Carries out the first call that was left unanswered and not carried out yet; false if there is none. */
    bool carryOutLate();

private:
    struct running
    {
        int run = 0;
        std::int64_t startedAt = 0;
        run_plan plan;
        std::int64_t stopAt = -1;
        std::size_t span = 0;
    };
    struct listed_end
    {
        std::int64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
        std::size_t span = 0;
    };

    std::int64_t clockMs() const;
    json reply() const;
    response refusal(const std::string &reason) const;
    std::optional<response> handle(const request &call);
    std::optional<response> carryOut(const request &call);
    response start(const json &body);
    response stop(const json &body);
    std::optional<response> hold(const json &body, std::unique_lock<std::mutex> &guard);
    void extendLease(const json &body);
    void end(const std::string &task, const std::string &how);
    void tick();

    store &m_entries;
    record &m_log;
    executor_options m_options;
    planner m_plan;
    std::mutex m_lock;
    std::condition_variable m_ended;
    std::atomic<bool> m_up{true};
    std::atomic<bool> m_crashed{false};
    std::function<bool(const request &)> m_isLate;
    std::vector<request> m_late;
    std::int64_t m_startedAt = 0;
    std::int64_t m_born = 0;
    std::int64_t m_sequence = 0;
    std::int64_t m_heartbeatAt = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseEnd = 0;
    std::int64_t m_lastEnd = 0;
    std::map<std::string, running> m_runs;
    std::map<std::string, int> m_refusedUpTo;
    std::vector<listed_end> m_ends;
    std::unique_ptr<server> m_server;
    std::thread m_ticker;
};

/** The fleet service with the executors on its machines. */
class fleet
{
public:
    fleet(store &entries, record &log, planner plan);

    void add(const std::string &pool, const std::string &machine, const std::string &rack);
    std::optional<response> handle(const request &call);
    std::vector<std::shared_ptr<executor>> executors();

private:
    struct machine_state
    {
        std::string pool;
        std::string rack;
        std::string state = "up";
        std::shared_ptr<executor> occupant;
        std::int64_t fence = 0;
        std::set<std::int64_t> waves;
    };

    void bringUp(const std::string &machine);
    response list();
    response change(const request &call, bool upkeep);

    store &m_entries;
    record &m_log;
    planner m_plan;
    std::mutex m_lock;
    int m_count = 0;
    std::map<std::string, machine_state> m_machines;
    std::vector<std::shared_ptr<executor>> m_former;
};

} // namespace review
