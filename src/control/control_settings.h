#pragma once

// Settings of daisypass-control, read from one JSON file with comments. All failures of the file are reported, not only the first.
//
//     std::vector<failure> failures;
//     std::optional<control_settings> settings = loadControlSettings("/etc/daisypass/control.json", failures);

#include "base/failure.h"
#include "base/settings_reader.h"
#include "base/time.h"

#include <optional>
#include <string>
#include <vector>

namespace daisypass {

struct control_settings
{
    /** Name of this controller in the lease row and in log lines. */
    std::string controller;
    /** The platform's table service, object store and VM list. */
    endpoint platform;
    /** Where the administration API listens. */
    endpoint adminListen;
    /** Bearer token that operators send. */
    std::string adminToken;
    duration stepInterval = std::chrono::seconds(1);
    duration vmListInterval = std::chrono::seconds(5);
    duration rebootGrace = std::chrono::seconds(30);
};

/** On failure, appends every failure of the file, or FileUnreadable. */
std::optional<control_settings> loadControlSettings(const std::string &path, std::vector<failure> &failures);
/** The same for the text of a file; `file` is its name in the failures. */
std::optional<control_settings> parseControlSettings(std::string_view text, std::string_view file, std::vector<failure> &failures);

} // namespace daisypass
