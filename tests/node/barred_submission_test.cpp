#include "node/front_service.h"
#include "node/tables.h"
#include "store_fixture.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>

using namespace daisypass;

namespace {

const std::string job = "0123456789abcdef";

/** A node with one queue, in front of a store. */
class cancelling_front : public store_fixture
{
public:
    cancelling_front()
    {
        std::shared_ptr<sched::configuration_view> view = std::make_shared<sched::configuration_view>();
        view->version = 1;
        sched::queue_config queue;
        queue.key = {"shop.example", "/book/"};
        queue.pool = "booking";
        view->queues.push_back(queue);
        m_front.configure(view);
    }

    http_response request(const std::string &method)
    {
        http_request request;
        request.method = method;
        request.path = "/book/" + job;
        request.headers = {{"Host", "shop.example"}};
        request.body = method == "POST" ? R"({"Steps":[{"Count":1}]})" : "";
        std::promise<http_response> answered;
        m_front.handle(request, [&answered](http_response response) {
            answered.set_value(std::move(response));
        });
        return answered.get_future().get();
    }

    /** Stores the submission as another node's write would that is late. */
    store_status storeLate()
    {
        return transact({{{tables::jobRow(job), 0}}, {{tables::jobRow(job), "a submission"}}, {}});
    }

private:
    metrics_registry m_metrics;
    front_service m_front{store(),
                          std::make_shared<submission_writer>(store(),
                                                              [](std::chrono::milliseconds, const std::function<void()> &) {
                                                              }),
                          m_metrics,
                          [](const http_request &, const http_responder &respond) {
                              respond(http_response{});
                          },
                          [](const row_key &, const std::string &) {
                          }};
};

} // namespace

// Guards against a job that runs after its cancelling was answered with 410, because the store did its submission late (UNASKED).
TEST_CASE("a job that is cancelled before it is known")
{
    cancelling_front front;
    REQUIRE(front.request("DELETE").status == 410);

    SUBCASE("isn't stored by a late write of its submission")
    {
        CHECK(front.storeLate() == store_status::Conflict);
    }
    SUBCASE("is refused if it is submitted again, as it never runs")
    {
        CHECK(front.request("POST").status == 503);
    }
    SUBCASE("isn't shown, and can be cancelled again")
    {
        CHECK(front.request("GET").status == 410);
        CHECK(front.request("DELETE").status == 410);
    }
}

TEST_CASE("a job that is known when it is cancelled")
{
    cancelling_front front;
    REQUIRE(front.request("POST").status == 200);

    SUBCASE("is cancelled once or more")
    {
        CHECK(front.request("DELETE").status == 200);
        CHECK(front.request("DELETE").status == 200);
        CHECK(front.request("GET").body.find("cancelled") != std::string::npos);
    }
    SUBCASE("is stored once, however often it is submitted")
    {
        const std::string row = front.value(tables::jobRow(job));
        CHECK(front.request("POST").status == 200);
        CHECK(front.value(tables::jobRow(job)) == row);
    }
}
