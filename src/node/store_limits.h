#pragma once

// Time limits of the holder's calls to the store.

#include <chrono>

namespace daisypass {

/** A read of up to 500 rows from a slow store still ends in this time. */
inline constexpr std::chrono::milliseconds holderReadTimeout{2'000};
/** The store answers in milliseconds, and a slow one within a second; a lost answer costs this much. */
inline constexpr std::chrono::milliseconds holderCommitTimeout{1'500};
/** A read or a status row that failed is tried again after this time. */
inline constexpr std::chrono::milliseconds holderReadRetryDelay{150};

} // namespace daisypass
