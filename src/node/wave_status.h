#pragma once

// How the operator is told about a wave.
//
//     store.transact(waveStatusWrite(wave, completed), timeout, [&](transact_result result) {
//         if (!waveStatusIsWritten(result.status)) { ... try again ... }
//     });

#include "platform/store_client.h"

#include <cstdint>

namespace daisypass {

/** Shows the wave as completed, or as running unless its status has been written before. */
row_transaction waveStatusWrite(std::int64_t wave, bool completed);
/** The status says at least as much as the write wanted. */
bool waveStatusIsWritten(store_status result);

} // namespace daisypass
