#include "kernel/policy_registry.h"

namespace daisypass {

namespace {

[[maybe_unused]] const bool bandsRegistered = registerPolicy<scheduling_policy>("bands", band_order{});
[[maybe_unused]] const bool fifoRegistered = registerPolicy<scheduling_policy>("fifo", arrival_order{});

} // namespace

} // namespace daisypass
