#pragma once

// Counters and histograms of one pool, team and class.

#include "base/metrics.h"
#include "entry/request_outcome.h"

#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace daisypass {

// Looks up the histograms once per set of labels, and each counter when its outcome and reason first occur.
struct request_metrics
{
    request_metrics(metrics_registry &registry, metric_labels chosenLabels)
        : labels(std::move(chosenLabels))
        , wait(registry.findHistogram("daisypass_request_wait_seconds", labels))
        , run(registry.findHistogram("daisypass_request_run_seconds", labels))
        , total(registry.findHistogram("daisypass_request_total_seconds", labels))
    {
    }

    void count(metrics_registry &registry, const request_outcome &outcome)
    {
        const std::lock_guard<std::mutex> guard(lock);
        counter *&endCounter = counters[{outcome.fate, outcome.reason}];
        if (endCounter == nullptr) {
            metric_labels withOutcome = labels;
            withOutcome.emplace_back("outcome", fateName(outcome.fate));
            withOutcome.emplace_back("reason", outcome.reason);
            endCounter = &registry.findCounter("daisypass_requests_total", withOutcome);
        }
        endCounter->add();
    }

    metric_labels labels;
    histogram &wait;
    histogram &run;
    histogram &total;
    std::mutex lock;
    std::map<std::pair<request_fate, std::string>, counter *> counters;
};

} // namespace daisypass
