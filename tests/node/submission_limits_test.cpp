#include "node/front_service.h"
#include "node/tables.h"
#include "platform/records.h"
#include "store_fixture.h"

#include <doctest/doctest.h>

using namespace daisypass;

namespace {

std::string jobOf(int steps)
{
    std::string body = R"({"Spec":"","Steps":[)";
    for (int i = 0; i < steps; ++i) {
        body += std::string(i > 0 ? "," : "") + R"({"Count":1,"Cpu":500,"MemMb":256,"EstimateMs":900,"Affinity":"a-rack-with-a-long-name"})";
    }
    return body + "]}";
}

} // namespace

// Guards against a job that the store can never take: callers must learn that it never runs, and the store's refusal would hold up others.
TEST_CASE("a job whose row is above the store's limit")
{
    store_fixture world;
    metrics_registry metrics;
    int forwarded = 0;
    front_service front(
        world.store(),
        std::make_shared<submission_writer>(world.store(),
                                            [](std::chrono::milliseconds, const std::function<void()> &) {
                                            }),
        metrics,
        [&forwarded](const http_request &, const http_responder &respond) {
            ++forwarded;
            respond(http_response{});
        },
        [](const row_key &, const std::string &) {
        });
    std::shared_ptr<sched::configuration_view> view = std::make_shared<sched::configuration_view>();
    view->version = 1;
    sched::queue_config queue;
    queue.key = {"shop.example", "/book/"};
    queue.pool = "booking";
    view->queues.push_back(queue);
    front.configure(view);
    front.limitRows(20'000);
    const std::string id = "0123456789abcdef";
    const std::function<http_response(int)> submit = [&](int steps) {
        http_request request;
        request.method = "POST";
        request.path = "/book/" + id;
        request.headers = {{"Host", "shop.example"}};
        request.body = jobOf(steps);
        std::promise<http_response> answered;
        front.handle(request, [&answered](http_response response) {
            answered.set_value(std::move(response));
        });
        return answered.get_future().get();
    };

    SUBCASE("is refused with a reason by the first node, and not stored")
    {
        const http_response response = submit(400);
        CHECK(response.status == 503);
        CHECK(response.body.find("job_too_long") != std::string::npos);
        CHECK(forwarded == 0);
        CHECK(world.value(tables::jobRow(id)).empty());
    }
    SUBCASE("is told apart from a shorter one, which is accepted")
    {
        CHECK(submit(100).status == 200);
        CHECK_FALSE(world.value(tables::jobRow(id)).empty());
    }
}
