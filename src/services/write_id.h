#pragma once

// Names of transactions.

#include <string>

namespace daisypass {

/** 128 random bits in hexadecimal; names one transaction, so that its outcome can be found after a lost answer. */
std::string newWriteId();

} // namespace daisypass
