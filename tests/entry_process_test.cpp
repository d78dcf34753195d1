// Tests of a whole entry in the test process, with stores in memory and targets that produce chosen faults.

#include "entry/entry_process.h"
#include "entry/request_id.h"
#include "faulty_target.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <poll.h>

#include <atomic>
#include <functional>
#include <future>
#include <thread>

using namespace daisypass;

namespace {

bool eventually(const std::function<bool()> &condition)
{
    constexpr std::chrono::seconds limit{10};
    const std::chrono::steady_clock::time_point until = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
}

class small_deployment
{
public:
    /** The target with the index `ordersTarget` serves pool orders, all others serve pool booking. */
    explicit small_deployment(int targetCount = 1, int ordersTarget = -1)
        : m_ordersTarget(ordersTarget)
    {
        for (int i = 0; i < targetCount; ++i) {
            targets.push_back(std::make_unique<faulty_target>());
        }
        applyConfiguration();
        entry = startEntry("entry-1", 1);
    }

    std::unique_ptr<entry_process> startEntry(const std::string &name, std::uint64_t seed)
    {
        std::vector<failure> failures;
        const std::string text = R"({"entry": ")" + name + R"(", "availability_zone": "z", "callers_listen": "127.0.0.1:0", "peers_listen": "127.0.0.1:0",
            "platform": "127.0.0.1:1", "threads": {"callers": 1, "targets": 1}, "intervals": {"poll_ms": 50}})";
        const std::optional<entry_settings> settings = parseEntrySettings(text, "entry.json", failures);
        REQUIRE(settings);
        std::unique_ptr<entry_process> started
            = std::make_unique<entry_process>(*settings, seed, entry_stores{table_service(table), table_service(table), object_store(objects), nullptr});
        failure reason;
        REQUIRE(started->start(reason));
        REQUIRE(eventually([&] {
            return started->ready();
        }));
        return started;
    }

    http_response call(const std::string &method, const std::string &path, std::vector<http_header> headers = {}, entry_process *at = nullptr)
    {
        http_call request;
        request.method = method;
        request.url = "http://127.0.0.1:" + std::to_string((at == nullptr ? *entry : *at).callersPort()) + path;
        request.headers = std::move(headers);
        request.headers.push_back({"Daisypass-Team", "zagreb"});
        http_result result = client.fetch(request);
        CHECK(result.state == send_state::Answered);
        return result.response;
    }

    http_response post(std::vector<http_header> headers = {}, const std::string &pool = "booking", entry_process *at = nullptr)
    {
        return call("POST", "/v1/pools/" + pool + "/requests", std::move(headers), at);
    }

    int runs() const
    {
        int sum = 0;
        for (const std::unique_ptr<faulty_target> &target : targets) {
            sum += target->runs;
        }
        return sum;
    }

    void append(const std::vector<fleet_change> &changes)
    {
        fleet_log log{table_service(table), object_store(objects)};
        append(log, changes);
    }

    const fleet_state &state() const
    {
        return m_state;
    }

    memory_table table;
    memory_objects objects;
    std::vector<std::unique_ptr<faulty_target>> targets;
    http_client client{{}};
    std::unique_ptr<entry_process> entry;

private:
    void applyConfiguration()
    {
        fleet_log log{table_service(table), object_store(objects)};
        nlohmann::json vms = nlohmann::json::array();
        for (std::size_t i = 0; i < targets.size(); ++i) {
            const std::string address = "127.0.0.1:" + std::to_string(targets[i]->port());
            vms.push_back({{"id", "vm-" + std::to_string(i)},
                           {"pool", static_cast<int>(i) == m_ordersTarget ? "orders" : "booking"},
                           {"address", address},
                           {"availability_zone", "z"},
                           {"rack", "r"}});
        }
        const std::vector<configuration_file> files{
            {"pools.json",
             R"({"pools": [{"name": "booking", "min_available": 0, "headroom": "none"}, {"name": "orders", "min_available": 0, "headroom": "none", "at_most_once": "ticket"}]})"},
            {"vms.json", nlohmann::json{{"vms", vms}}.dump()},
            {"teams.json", R"({"teams": [{"name": "zagreb"}]})"},
        };
        configuration_applied applied;
        applied.author = "test";
        failure reason;
        for (const configuration_file &file : files) {
            applied.changed.push_back({file.name, *log.putFile(file.text, reason)});
        }
        append(log, {applied});
        // New VMs are in state stopped until the fleet log returns them to service, as a controller does after a health check.
        std::vector<fleet_change> returned;
        for (std::size_t i = 0; i < targets.size(); ++i) {
            returned.emplace_back(vm_returned{"vm-" + std::to_string(i), m_state.vms().find("vm-" + std::to_string(i))->second.epoch});
        }
        append(log, returned);
    }

    void append(fleet_log &log, const std::vector<fleet_change> &changes)
    {
        failure reason;
        const std::optional<log_head> head = log.readHead(reason);
        REQUIRE(head);
        // Applies the records that entries appended in the meantime.
        constexpr int limit = 100;
        const std::optional<std::vector<log_record>> others = log.readAfter(m_state.revision(), limit, reason);
        REQUIRE(others);
        for (const log_record &other : *others) {
            REQUIRE(m_state.apply(other, log.files(), reason));
        }
        // The record's time is one hour ago, so that the ramp-up of the slots is over.
        const log_record record{head->revision + 1, "write-" + std::to_string(head->revision), wallNow() - std::chrono::hours(1), changes};
        REQUIRE_MESSAGE(m_state.apply(record, log.files(), reason), describe(reason));
        REQUIRE(log.append(record, *head, reason) == commit_outcome::Committed);
    }

    int m_ordersTarget;
    fleet_state m_state;
};

std::string_view outcomeOf(const http_response &response)
{
    return findHeader(response.headers, "Daisypass-Outcome");
}

} // namespace

TEST_CASE("an entry reports what became of a call on a target")
{
    small_deployment deployment;
    faulty_target &target = *deployment.targets[0];

    SUBCASE("the whole answer is passed on")
    {
        const http_response response = deployment.post();
        CHECK(response.status == 200);
        CHECK(outcomeOf(response) == "completed");
        CHECK(response.body == "answer to " + std::string(findHeader(response.headers, "Daisypass-Request-Id")));
    }

    // Guards against passing an incomplete response or one of another request to a caller, and against a second run after a lost response.
    SUBCASE("each fault of a target gives the correct outcome")
    {
        struct misbehaviour
        {
            target_mode mode;
            std::string_view outcome;
            int runs;
        };
        const std::vector<misbehaviour> rows{
            {target_mode::Fail, "failed", 1},
            {target_mode::Refuse, "not_run", 0},
            {target_mode::Truncate, "unknown", 1},
            {target_mode::WrongId, "unknown", 1},
            {target_mode::CloseEarly, "unknown", 1},
        };
        for (const misbehaviour &row : rows) {
            CAPTURE(row.outcome);
            target.mode = target_mode::Answer;
            CHECK(outcomeOf(deployment.post()) == "completed");
            target.runs = 0;
            target.mode = row.mode;
            const http_response response = deployment.post({{"Daisypass-Repeatable", "true"}});
            CHECK(outcomeOf(response) == row.outcome);
            CHECK(response.body.find("answer to ") == std::string::npos);
            CHECK(target.runs == row.runs);
        }
    }

    // Guards against a late response to one request that is taken for the response to the next.
    SUBCASE("after a response with a wrong id the connection is not reused")
    {
        target.mode = target_mode::WrongId;
        CHECK(outcomeOf(deployment.post()) == "unknown");
        const int before = target.accepted;
        target.mode = target_mode::Answer;
        CHECK(outcomeOf(deployment.post()) == "completed");
        CHECK(target.accepted == before + 1);
    }

    SUBCASE("a call that exceeds the deadline is unknown and its response is discarded")
    {
        target.mode = target_mode::Stall;
        const http_response response = deployment.post({{"Daisypass-Deadline-Ms", "50"}});
        CHECK(response.status == 504);
        CHECK(outcomeOf(response) == "unknown");
        target.stallReleased = true;
    }

    SUBCASE("a target that does not listen gives not_run")
    {
        deployment.targets.clear();
        const http_response response = deployment.post();
        CHECK(outcomeOf(response) == "not_run");
    }
}

TEST_CASE("a request that certainly did not run is tried on another target")
{
    small_deployment deployment(2);
    deployment.targets[0]->mode = target_mode::Refuse;
    // The retry budget starts with 16 retries and gains only 0.1 per request, so not every refused request may be retried.
    int completed = 0;
    for (int i = 0; i < 40; ++i) {
        completed += outcomeOf(deployment.post()) == "completed" ? 1 : 0;
    }
    CHECK(deployment.runs() == completed);
    CHECK(completed > 0);
}

TEST_CASE("a key runs once")
{
    small_deployment deployment;
    faulty_target &target = *deployment.targets[0];
    const std::vector<http_header> keyed{{"Idempotency-Key", "key-1"}};

    SUBCASE("on the same entry")
    {
        const http_response first = deployment.post(keyed);
        const http_response second = deployment.post(keyed);
        CHECK(outcomeOf(first) == "completed");
        CHECK(second.body == first.body);
        CHECK(target.runs == 1);
    }

    SUBCASE("on another entry, which asks the first")
    {
        std::unique_ptr<entry_process> other = deployment.startEntry("entry-2", 2);
        const http_response first = deployment.post(keyed);
        const http_response second = deployment.post(keyed, "booking", other.get());
        CHECK(outcomeOf(second) == "completed");
        CHECK(second.body == first.body);
        CHECK(target.runs == 1);
    }

    // Guards against losing the outcomes of an entry that shuts down gracefully.
    SUBCASE("after the first entry stopped gracefully")
    {
        std::unique_ptr<entry_process> other = deployment.startEntry("entry-2", 2);
        const http_response first = deployment.post(keyed);
        CHECK(deployment.entry->stop());
        CHECK(eventually([&] {
            return outcomeOf(deployment.post(keyed, "booking", other.get())) == "completed";
        }));
        CHECK(deployment.post(keyed, "booking", other.get()).body == first.body);
        CHECK(target.runs == 1);
    }

    // Guards against a second run of a request whose entry crashed.
    SUBCASE("after the incarnation that claimed it is gone")
    {
        failure reason;
        const std::string id = formatRequestId({0xdead, 1});
        const table_transaction row{"w", {}, {{claimKey("booking", "zagreb", "key-1"), claimValue("entry-0", id)}}, {}};
        REQUIRE(deployment.table.commit(row, reason) == commit_outcome::Committed);
        CHECK(outcomeOf(deployment.post(keyed)) == "unknown");
        CHECK(outcomeOf(deployment.post(keyed)) == "unknown");
        CHECK(target.runs == 0);
    }

    SUBCASE("with a store that fails until the deadline it is not run")
    {
        deployment.table.setOutage(true);
        const http_response response = deployment.post({{"Idempotency-Key", "key-2"}, {"Daisypass-Deadline-Ms", "100"}});
        CHECK(outcomeOf(response) == "not_run");
        CHECK(nlohmann::json::parse(response.body).at("reason") == "store_unavailable");
        CHECK(target.runs == 0);

        // Guards against reporting not_run for a key that an earlier submission may have run.
        SUBCASE("but for a resubmission it is unknown whether the key ran")
        {
            const http_response again = deployment.post({{"Idempotency-Key", "key-2"}, {"Daisypass-Resubmission", "true"}, {"Daisypass-Deadline-Ms", "100"}});
            CHECK(outcomeOf(again) == "unknown");
            CHECK(nlohmann::json::parse(again.body).at("reason") == "store_unavailable");
            deployment.table.setOutage(false);
            const http_response later = deployment.post({{"Idempotency-Key", "key-2"}, {"Daisypass-Resubmission", "true"}});
            CHECK(outcomeOf(later) == "completed");
            CHECK(target.runs == 1);
        }

        // Guards against a key that stays refused forever although its caller follows Retry-After.
        SUBCASE("and runs once when its caller submits it again")
        {
            deployment.table.setOutage(false);
            CHECK(outcomeOf(deployment.post({{"Idempotency-Key", "key-2"}, {"Daisypass-Resubmission", "true"}})) == "completed");
            CHECK(outcomeOf(deployment.post({{"Idempotency-Key", "key-2"}})) == "completed");
            CHECK(target.runs == 1);
        }
    }

    SUBCASE("a key that a target refused runs once on a later submission")
    {
        target.mode = target_mode::Refuse;
        const std::vector<http_header> refused{{"Idempotency-Key", "key-3"}, {"Daisypass-Deadline-Ms", "200"}};
        CHECK(outcomeOf(deployment.post(refused)) == "not_run");
        target.mode = target_mode::Answer;

        SUBCASE("through the same entry")
        {
            CHECK(outcomeOf(deployment.post({{"Idempotency-Key", "key-3"}, {"Daisypass-Resubmission", "true"}})) == "completed");
        }

        // Guards against a delayed first submission that runs after the caller was told not_run.
        SUBCASE("but not by a submission that is not marked as a resubmission")
        {
            std::unique_ptr<entry_process> other = deployment.startEntry("entry-2", 2);
            CHECK(outcomeOf(deployment.post(refused)) == "not_run");
            CHECK(outcomeOf(deployment.post(refused, "booking", other.get())) == "not_run");
            CHECK(target.runs == 0);
            CHECK(outcomeOf(deployment.post({{"Idempotency-Key", "key-3"}, {"Daisypass-Resubmission", "true"}}, "booking", other.get())) == "completed");
        }

        // Guards against two runs when callers submit the key again through several entries at once.
        SUBCASE("through several entries at once")
        {
            std::unique_ptr<entry_process> other = deployment.startEntry("entry-2", 2);
            std::vector<std::thread> callers;
            std::atomic<int> completed{0};
            for (int i = 0; i < 8; ++i) {
                callers.emplace_back([&, i] {
                    const http_response response
                        = deployment.post({{"Idempotency-Key", "key-3"}, {"Daisypass-Resubmission", "true"}}, "booking", i % 2 == 0 ? other.get() : nullptr);
                    completed += outcomeOf(response) == "completed" ? 1 : 0;
                });
            }
            for (std::thread &caller : callers) {
                caller.join();
            }
            CHECK(completed == 8);
        }
        CHECK(target.runs == 1);
    }
}

TEST_CASE("tickets")
{
    small_deployment deployment(2, 1);
    const http_response issued = deployment.call("POST", "/v1/pools/orders/tickets");
    CHECK(issued.status == 201);
    const std::string presented = nlohmann::json::parse(issued.body).at("ticket");

    SUBCASE("a key that is no ticket is refused")
    {
        CHECK(nlohmann::json::parse(deployment.post({{"Idempotency-Key", "k"}}, "orders").body).at("reason") == "ticket_required");
    }

    SUBCASE("a ticket whose request was refused runs once on a later submission")
    {
        faulty_target &target = *deployment.targets[1];
        target.mode = target_mode::Refuse;
        CHECK(outcomeOf(deployment.post({{"Idempotency-Key", presented}, {"Daisypass-Deadline-Ms", "200"}}, "orders")) == "not_run");
        target.mode = target_mode::Answer;
        CHECK(outcomeOf(deployment.post({{"Idempotency-Key", presented}, {"Daisypass-Resubmission", "true"}}, "orders")) == "completed");
        CHECK(outcomeOf(deployment.post({{"Idempotency-Key", presented}}, "orders")) == "completed");
        CHECK(target.runs == 1);
    }

    // Guards against a ticket that can start a run on two entries.
    SUBCASE("another entry sends the caller to the issuer")
    {
        std::unique_ptr<entry_process> other = deployment.startEntry("entry-2", 2);
        const http_response response = deployment.post({{"Idempotency-Key", presented}}, "orders", other.get());
        CHECK(response.status == 307);
        CHECK(findHeader(response.headers, "Location") == "http://127.0.0.1:" + std::to_string(deployment.entry->callersPort()) + "/v1/pools/orders/requests");
    }
}

TEST_CASE("asynchronous requests")
{
    small_deployment deployment;
    faulty_target &target = *deployment.targets[0];
    target.mode = target_mode::Stall;
    const http_response accepted = deployment.post({{"Prefer", "respond-async"}});
    CHECK(accepted.status == 202);
    const std::string path(findHeader(accepted.headers, "Location"));
    CHECK(eventually([&] {
        return outcomeOf(deployment.call("GET", path)) == "running";
    }));

    SUBCASE("a running request is not cancelled, and its answer is kept")
    {
        const http_response cancelled = deployment.call("DELETE", path);
        CHECK(cancelled.status == 409);
        CHECK_FALSE(nlohmann::json::parse(cancelled.body).at("cancelled").get<bool>());
        target.stallReleased = true;
        CHECK(eventually([&] {
            return outcomeOf(deployment.call("GET", path)) == "completed";
        }));
    }

    // Guards against a shutdown that aborts a request in flight on a target.
    SUBCASE("a stop waits for it and refuses new requests")
    {
        std::thread stopping([&] {
            CHECK(deployment.entry->stop());
        });
        CHECK(eventually([&] {
            return deployment.call("GET", "/readyz").status == 503;
        }));
        CHECK(nlohmann::json::parse(deployment.post().body).at("reason") == "shutting_down");
        target.stallReleased = true;
        stopping.join();
        CHECK(target.runs == 1);
    }
}

// Guards against stopping a VM with a request in flight, and against new requests on it after the entry confirmed its drain.
TEST_CASE("a drain is confirmed when nothing is in flight, and nothing follows")
{
    small_deployment deployment;
    faulty_target &target = *deployment.targets[0];
    target.mode = target_mode::Stall;
    const http_response accepted = deployment.post({{"Prefer", "respond-async"}});
    CHECK(eventually([&] {
        return target.runs == 1;
    }));
    const std::uint64_t epoch = deployment.state().vms().find("vm-0")->second.epoch + 1;
    deployment.append({drain_begun{"vm-0", epoch, drain_cause::Maintenance, "wave"}});
    const drain_question question{"vm-0", epoch, deployment.state().revision()};
    peer_client peers({});
    const auto ask = [&] {
        std::promise<std::optional<drain_answer>> answered;
        peers.confirmDrain(
            {deployment.entry->peersEndpoint(), deployment.entry->incarnation()}, question, [&](std::optional<drain_answer> answer, const failure &) {
                answered.set_value(std::move(answer));
            });
        return answered.get_future().get().value_or(drain_answer{});
    };
    CHECK(eventually([&] {
        const drain_answer answer = ask();
        CHECK_FALSE(answer.confirmed);
        return answer.revision >= question.revision && answer.inFlight == 1;
    }));
    target.stallReleased = true;
    CHECK(eventually([&] {
        return ask().confirmed;
    }));
    target.mode = target_mode::Answer;
    CHECK(outcomeOf(deployment.post({{"Daisypass-Deadline-Ms", "200"}})) == "not_run");
    CHECK(target.runs == 1);
}
