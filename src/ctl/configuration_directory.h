#pragma once

// Reads a directory of configuration files on an operator's machine, and keeps the revision that the files are based on beside them.
//
//     std::optional<std::vector<configuration_file>> files = loadDirectory("fleet", reason);
//     std::optional<revision_number> base = readBaseRevision("fleet", reason);

#include "base/failure.h"
#include "kernel/fleet_change.h"

#include <optional>
#include <string>
#include <vector>

namespace daisypass {

/** Reads every *.json file below the directory, sorted by name. Fails with FileUnreadable. */
std::optional<std::vector<configuration_file>> loadDirectory(const std::string &directory, failure &reason);

/** Base revision in the file `.daisypass-base`; no value and no reason if the file is missing. Fails with SyntaxError. */
std::optional<revision_number> readBaseRevision(const std::string &directory, failure &reason);
/** Writes the file `.daisypass-base`. Fails with FileUnreadable. */
bool writeBaseRevision(const std::string &directory, revision_number revision, failure &reason);

} // namespace daisypass
