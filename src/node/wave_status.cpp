#include "node/wave_status.h"

#include "platform/records.h"

namespace daisypass {

// A write may be applied late, even after its sender has lost the lease, so it must not overwrite a later status. "Running" is written
// only if the row doesn't exist; "completed" is final and needs no precondition.
row_transaction waveStatusWrite(std::int64_t wave, bool completed)
{
    constexpr std::int64_t versionOfMissingRow = 0;
    row_transaction transaction;
    if (!completed) {
        transaction.preconditions = {{{statusTable, "", waveStatusKey(wave)}, versionOfMissingRow}};
    }
    transaction.puts = {{{statusTable, "", waveStatusKey(wave)}, encodeWaveStatus(wave, completed)}};
    return transaction;
}

bool waveStatusIsWritten(store_status result)
{
    return result == store_status::Ok || result == store_status::Conflict;
}

} // namespace daisypass
