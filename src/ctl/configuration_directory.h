#pragma once

// A directory of configuration files on an operator's machine, with the revision that it was made from.

#include "base/failure.h"
#include "kernel/fleet_change.h"

#include <optional>
#include <string>
#include <vector>

namespace daisypass {

/** Reads every *.json file below the directory, sorted by name. Fails with FileUnreadable. */
std::optional<std::vector<configuration_file>> loadDirectory(const std::string &directory, failure &reason);

/** Revision in the file `.daisypass-base`, or nothing if the file is missing. Fails with SyntaxError. */
std::optional<revision_number> readBase(const std::string &directory, failure &reason);
/** Fails with FileUnreadable. */
bool writeBase(const std::string &directory, revision_number revision, failure &reason);

} // namespace daisypass
