#include "ctl/control_client.h"
#include "http/http_answers.h"
#include "services/table_service.h"
#include "services/vm_list.h"
#include "standins/standin_server.h"

#include <doctest/doctest.h>

#include <thread>

using namespace daisypass;

namespace {

/** A service that answers every call with this body, and a client of it. */
class answering_service
{
public:
    explicit answering_service(const std::string &body)
    {
        failure reason;
        m_server = startServer({"127.0.0.1", 0}, m_context, reason, [body](const http_request &, const http_responder &respond) {
            respond(jsonTextResponse(statusOk, body));
        });
        REQUIRE(m_server);
        m_thread = std::thread([this] {
            m_context.run();
        });
    }

    ~answering_service()
    {
        m_context.stop();
        m_thread.join();
    }

    endpoint address() const
    {
        return {"127.0.0.1", m_server->port()};
    }

    std::shared_ptr<http_client> client = std::make_shared<http_client>(http_client_options{});

private:
    asio::io_context m_context;
    std::unique_ptr<http_server> m_server;
    std::thread m_thread;
};

} // namespace

// Guards against a damaged answer that is read as a deployment without VMs, or that ends the process by an exception.
TEST_CASE("a list of VMs is read whole or not at all")
{
    SUBCASE("a list")
    {
        const answering_service service(R"([{"id":"vm-1","address":"10.0.0.1:80","state":"live"}])");
        failure reason;
        const std::optional<std::vector<listed_vm>> vms = http_vms(service.client, service.address()).list(reason);
        REQUIRE(vms);
        CHECK(vms->size() == 1);
    }
    SUBCASE("anything else")
    {
        for (const char *body : {"{}",
                                 R"({"error":"busy"})",
                                 "7",
                                 R"([7])",
                                 R"([{"id":1,"address":"10.0.0.1:80","state":"live"}])",
                                 R"([{"id":"vm-1","address":5,"state":"live"}])",
                                 R"([{"id":"vm-1","address":"10.0.0.1:80","state":null}])"}) {
            CAPTURE(body);
            const answering_service service(body);
            failure reason;
            CHECK_FALSE(http_vms(service.client, service.address()).list(reason));
            CHECK(reason.code == failure_code::BadAnswer);
        }
    }
}

// Guards against a failed scan without a reason, and against a row that is left out unnoticed.
TEST_CASE("rows of a table are read whole or not at all")
{
    for (const char *body : {"[]", "{}", R"({"rows":{}})", R"({"rows":[7]})", R"({"rows":[{"value":"without a key"}]})"}) {
        CAPTURE(body);
        const answering_service service(body);
        failure reason;
        CHECK_FALSE(http_table(service.client, service.address()).scan("fleet/", "", 10, reason));
        CHECK(reason.code == failure_code::BadAnswer);
    }
}

// Guards against daisypassctl ending by an exception after it has sent a configuration: the operator wouldn't learn whether it took effect.
TEST_CASE("an answer to an apply with members of another type is reported, not thrown")
{
    SUBCASE("without a readable outcome it is unknown whether the configuration took effect")
    {
        const answering_service service(R"({"outcome":5})");
        CHECK(control_client(service.address(), "token").apply({}, 0, "author", "write-1").outcome == reported_outcome::Unknown);
    }
    SUBCASE("details that can't be read are left out")
    {
        const answering_service service(R"({"outcome":"invalid","revision":"seven","failures":[{"message":7}]})");
        const apply_report report = control_client(service.address(), "token").apply({}, 0, "author", "write-1");
        CHECK(report.outcome == reported_outcome::Invalid);
        CHECK(report.revision == 0);
    }
}

// Guards against daisypassctl ending by an exception while it waits for a revision.
TEST_CASE("entries that lag behind a revision are named")
{
    const nlohmann::json status
        = nlohmann::json::parse(R"({"entries":[{"entry":"a","revision":7},{"entry":"b","revision":6},{"entry":"c"},{"revision":null}]})");
    CHECK(describeLagging(status, 6) == "not yet in force on c, an unnamed entry");
    CHECK(describeLagging(status, 7) == "not yet in force on b, c, an unnamed entry");
    CHECK(describeLagging(nlohmann::json::parse(R"({"entries":[{"entry":"a","revision":7}]})"), 7).empty());
    for (const char *damaged : {"{}", R"({"entries":3})"}) {
        CHECK_FALSE(describeLagging(nlohmann::json::parse(damaged), 7).empty());
    }
}
