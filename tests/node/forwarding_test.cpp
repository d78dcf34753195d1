#include "node/front_service.h"
#include "store_fixture.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>

using namespace daisypass;

namespace {

/** A node whose writes to the store are done without an answer, and another node that answers forwarded requests with one status. */
class unanswered_front : public store_fixture
{
public:
    explicit unanswered_front(int forwardedStatus)
        : m_forwardedStatus(forwardedStatus)
    {
        std::shared_ptr<sched::configuration_view> view = std::make_shared<sched::configuration_view>();
        view->version = 1;
        sched::queue_config queue;
        queue.key = {"shop.example", "/book/"};
        queue.pool = "booking";
        view->queues.push_back(queue);
        m_front.configure(view);
        setFault({store_fault_kind::LostAnswers});
    }

    int submit()
    {
        http_request request;
        request.method = "POST";
        request.path = "/book/0123456789abcdef";
        request.headers = {{"Host", "shop.example"}, {"X-Daisypass-Deadline-Ms", "200"}};
        request.body = R"({"Steps":[{"Count":1}]})";
        std::promise<http_response> answered;
        m_front.handle(request, [&answered](http_response response) {
            answered.set_value(std::move(response));
        });
        return answered.get_future().get().status;
    }

private:
    int m_forwardedStatus;
    metrics_registry m_metrics;
    front_service m_front{store(),
                          std::make_shared<submission_writer>(store(),
                                                              [](std::chrono::milliseconds, const std::function<void()> &) {
                                                              }),
                          m_metrics,
                          [this](const http_request &, const http_responder &respond) {
                              http_response response;
                              response.status = m_forwardedStatus;
                              respond(response);
                          },
                          [](const row_key &, const std::string &) {
                          }};
};

} // namespace

// Guards against a refusal to a caller whose job may have been stored and runs (REFUSED).
TEST_CASE("a submission that this node may have stored, and that it forwarded")
{
    SUBCASE("isn't refused because the other node has no such queue, or refuses")
    {
        for (const int status : {0, 400, 404, 413, 429, 503}) {
            CAPTURE(status);
            CHECK(unanswered_front(status).submit() == 504);
        }
    }
    SUBCASE("is accepted if the other node accepts it")
    {
        CHECK(unanswered_front(200).submit() == 200);
    }
}
