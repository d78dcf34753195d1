#pragma once

// A simulation of one day's load on virtual time: the real scheduler with simulated executors, store and fleet service.
//
//     load_model model(load_settings{...});
//     load_outcome outcome = model.run();
//
// The same seed gives the same day. Network and store delays are fixed; task durations are drawn.

#include "load_outcome.h"
#include "load_settings.h"

#include <memory>

namespace daisypass::sched {

class load_model
{
public:
    explicit load_model(load_settings settings);
    ~load_model();

    load_outcome run();

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisypass::sched
