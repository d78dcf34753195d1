#pragma once

// Ids of transactions on the table service.

#include <string>

namespace daisypass {

/** Returns 128 random bits in hexadecimal. The id identifies one transaction, so that its outcome can be found after a lost response. */
std::string newWriteId();

} // namespace daisypass
