#pragma once

// A node's front with two queues on a stand-in of the store, for tests of what callers are answered.
//
//     front_fixture node;
//     CHECK(node.request("POST", "/book/0123456789abcdef", R"({"Steps":[{"Count":1}]})").status == 200);

#include "node/front_service.h"
#include "store_fixture.h"

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <utility>

namespace daisypass {

inline const sched::queue_key bookingQueue{"shop.example", "/book/"};
inline const sched::queue_key grinderQueue{"shop.example", "/grind/"};

class front_fixture : public store_fixture
{
public:
    /** The other nodes answer forwarded requests with this status; 0 if none answers. */
    explicit front_fixture(int forwardedStatus = 0)
        : m_forwardedStatus(forwardedStatus)
    {
        std::shared_ptr<sched::configuration_view> view = std::make_shared<sched::configuration_view>();
        view->version = 1;
        for (const sched::queue_key &key : {bookingQueue, grinderQueue}) {
            sched::queue_config queue;
            queue.key = key;
            queue.pool = "booking";
            view->queues.push_back(queue);
        }
        m_front.configure(view);
    }

    front_service &front()
    {
        return m_front;
    }

    http_response request(const std::string &method, const std::string &path, const std::string &body = {}, std::int64_t deadlineMs = 0)
    {
        http_request request;
        request.method = method;
        request.path = path;
        request.headers = {{"Host", "shop.example"}};
        if (deadlineMs > 0) {
            request.headers.push_back({"X-Daisypass-Deadline-Ms", std::to_string(deadlineMs)});
        }
        request.body = body;
        std::promise<http_response> answered;
        m_front.handle(request, [&answered](http_response response) {
            answered.set_value(std::move(response));
        });
        return answered.get_future().get();
    }

    int forwardedRequests() const
    {
        return m_forwarded;
    }

private:
    int m_forwardedStatus;
    int m_forwarded = 0;
    metrics_registry m_metrics;
    front_service m_front{store(),
                          std::make_shared<submission_writer>(store(),
                                                              [](std::chrono::milliseconds, const std::function<void()> &) {
                                                              }),
                          m_metrics,
                          [this](const http_request &, const http_responder &respond) {
                              ++m_forwarded;
                              http_response response;
                              response.status = m_forwardedStatus;
                              respond(response);
                          },
                          [](const row_key &, const std::string &) {
                          }};
};

} // namespace daisypass
