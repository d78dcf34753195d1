#pragma once

// Timeouts and retry delays of the lease holder's calls to the store.

#include <chrono>

namespace daisypass {

/** Long enough for a slow store to return a page of 500 rows. */
inline constexpr std::chrono::milliseconds holderReadTimeout{2'000};
/** The store answers within milliseconds, and within a second when it is slow. A lost answer is noticed only after this time. */
inline constexpr std::chrono::milliseconds holderCommitTimeout{1'500};
/** Delay before a failed read or a failed write of a wave's status is retried. */
inline constexpr std::chrono::milliseconds holderReadRetryDelay{150};

} // namespace daisypass
