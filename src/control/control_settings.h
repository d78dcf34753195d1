#pragma once

// Settings of daisypass-control, one JSON file with comments, checked as a whole.
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

/** Fails with every failure of the file, or with FileUnreadable. */
std::optional<control_settings> loadControlSettings(const std::string &path, std::vector<failure> &failures);
std::optional<control_settings> parseControlSettings(std::string_view text, std::string_view file, std::vector<failure> &failures);

} // namespace daisypass
