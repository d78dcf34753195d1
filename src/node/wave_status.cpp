#include "node/wave_status.h"

#include "platform/records.h"

namespace daisypass {

// A write may be carried out late, also after its holder has lost the lease. That a wave is running is news only while the row doesn't
// exist; that it is completed stays true, so it needs no condition.
row_transaction waveStatusWrite(std::int64_t wave, bool completed)
{
    constexpr std::int64_t rowIsMissing = 0;
    row_transaction transaction;
    if (!completed) {
        transaction.preconditions = {{{statusTable, "", waveStatusKey(wave)}, rowIsMissing}};
    }
    transaction.puts = {{{statusTable, "", waveStatusKey(wave)}, encodeWaveStatus(wave, completed)}};
    return transaction;
}

bool waveStatusIsWritten(store_status result)
{
    return result == store_status::Ok || result == store_status::Conflict;
}

} // namespace daisypass
