#pragma once

// The cases of the review.

#include "deployment.h"

namespace review {

inline constexpr int exitHeld = 0;
inline constexpr int exitBroken = 1;
inline constexpr int exitNotRun = 2;

/** Plays the case with this name, with its disruption if `trouble` is true. */
int play(const std::string &name, bool trouble, const deployment_options &options);

} // namespace review
