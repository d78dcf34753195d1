#pragma once

// A node's front with two queues on a stand-in of the store, for tests of what callers are answered.
//
//     front_fixture node;
//     CHECK(node.request("POST", "/book/0123456789abcdef", R"({"Steps":[{"Count":1}]})").status == 200);
//
// The queue "booking" needs a key once the configuration has tenants; `configure` replaces the configuration.

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
        configure(configurationWith(1, {}));
    }

    /** A configuration with the two queues and these tenants. */
    static sched::configuration_view configurationWith(std::int64_t version, std::vector<sched::tenant_config> tenants)
    {
        sched::configuration_view view;
        view.version = version;
        for (const sched::queue_key &key : {bookingQueue, grinderQueue}) {
            sched::queue_config queue;
            queue.key = key;
            queue.pool = "booking";
            view.queues.push_back(queue);
        }
        view.tenants = std::move(tenants);
        return view;
    }

    void configure(const sched::configuration_view &view)
    {
        m_front.configure(std::make_shared<const sched::configuration_view>(view));
    }

    /** Further requests carry this key; none if it is empty. */
    void setKey(std::string key)
    {
        m_key = std::move(key);
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
        if (!m_key.empty()) {
            request.headers.push_back({"Authorization", "Bearer " + m_key});
        }
        request.body = body;
        std::promise<http_response> answered;
        const http_responder respond = [&answered](http_response response) {
            answered.set_value(std::move(response));
        };
        if (m_forwardedByOtherNode) {
            m_front.handleForwarded(request, respond);
        } else {
            m_front.handle(request, respond);
        }
        return answered.get_future().get();
    }

    /** Further requests come from another node, which has forwarded them. */
    void setForwardedByOtherNode()
    {
        m_forwardedByOtherNode = true;
    }

    metrics_registry &metrics()
    {
        return m_metrics;
    }

    int forwardedRequests() const
    {
        return m_forwarded;
    }

private:
    int m_forwardedStatus;
    std::string m_key;
    bool m_forwardedByOtherNode = false;
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
