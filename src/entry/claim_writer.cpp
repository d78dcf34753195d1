#include "entry/claim_writer.h"

#include "base/thread_time.h"

#include <utility>

namespace daisypass {

claim_writer::claim_writer(table_service table, incarnation_number incarnation, std::uint64_t seed)
    : m_table(std::move(table))
    , m_logic(incarnation)
    , m_random(seed)
{
}

claim_writer::~claim_writer()
{
    stop();
}

void claim_writer::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void claim_writer::stop()
{
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void claim_writer::submit(claim newClaim, callback done)
{
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_callbacks.emplace(newClaim.number, std::move(done));
    }
    handle(claim_requested{std::move(newClaim)});
}

bool claim_writer::cancel(request_number number)
{
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        if (m_callbacks.erase(number) == 0) {
            return false;
        }
    }
    handle(claim_cancelled{number});
    return true;
}

void claim_writer::tick()
{
    if (waiting() > 0) {
        handle(claim_tick{});
    }
}

std::size_t claim_writer::waiting() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_logic.waiting();
}

std::chrono::microseconds claim_writer::processorTime()
{
    return threadProcessorTime(m_thread);
}

void claim_writer::run()
{
    while (true) {
        store_task task;
        {
            std::unique_lock<std::mutex> guard(m_lock);
            m_wake.wait(guard, [this] {
                return m_stopping || !m_tasks.empty();
            });
            if (m_stopping) {
                return;
            }
            task = std::move(m_tasks.front());
            m_tasks.pop_front();
        }
        handle(perform(task));
    }
}

claim_event claim_writer::perform(const store_task &task)
{
    failure reason;
    if (const write_claims *write = std::get_if<write_claims>(&task)) {
        return claims_written{m_table.commit(write->transaction, reason)};
    }
    claims_read read;
    for (const std::string &key : std::get<read_claims>(task).keys) {
        const std::optional<table_row> row = m_table.read(key, reason);
        claim_row found;
        found.read = row || reason.code == failure_code::NotFound;
        if (row) {
            found.value = row->value;
            found.version = row->version;
        }
        read.rows.push_back(std::move(found));
        if (!read.rows.back().read) {
            // The other rows are not requested from a table service that does not answer; claim_logic reads all rows again later.
            break;
        }
    }
    return read;
}

void claim_writer::handle(const claim_event &event)
{
    std::vector<std::pair<callback, claim_result>> settled;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        std::vector<claim_action> actions;
        m_logic.handle(event, steadyNow(), m_random(), actions);
        const auto settle = [&](request_number number, claim_result result) {
            const auto found = m_callbacks.find(number);
            if (found != m_callbacks.end()) {
                settled.emplace_back(std::move(found->second), std::move(result));
                m_callbacks.erase(found);
            }
        };
        for (claim_action &action : actions) {
            if (write_claims *write = std::get_if<write_claims>(&action)) {
                m_tasks.emplace_back(std::move(*write));
            } else if (read_claims *read = std::get_if<read_claims>(&action)) {
                m_tasks.emplace_back(std::move(*read));
            } else if (claim_won *won = std::get_if<claim_won>(&action)) {
                settle(won->number, *won);
            } else if (claim_duplicate *duplicate = std::get_if<claim_duplicate>(&action)) {
                const request_number number = duplicate->number;
                settle(number, std::move(*duplicate));
            } else if (claim_refused *refused = std::get_if<claim_refused>(&action)) {
                settle(refused->number, *refused);
            }
        }
    }
    m_wake.notify_one();
    for (std::pair<callback, claim_result> &result : settled) {
        result.first(std::move(result.second));
    }
}

} // namespace daisypass
