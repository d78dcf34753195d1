#pragma once

// Writes the status of a maintenance wave to the row that the operator reads.
//
//     store.transact(waveStatusWrite(wave, completed), timeout, [&](transact_result result) {
//         if (!waveStatusIsWritten(result.status)) { ... retry ... }
//     });

#include "platform/store_client.h"

#include <cstdint>

namespace daisypass {

/** Sets the status to completed, or to running if there is no status row yet. */
row_transaction waveStatusWrite(std::int64_t wave, bool completed);
/** Whether the row now holds the written status or a later one: a conflict means that a status was written before. */
bool waveStatusIsWritten(store_status result);

} // namespace daisypass
