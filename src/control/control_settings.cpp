#include "control/control_settings.h"

namespace daisypass {
namespace {

constexpr std::size_t minTokenLength = 16;
constexpr integer_range stepRange{50, 5'000};
constexpr integer_range vmListRange{100, 600'000};
constexpr integer_range rebootGraceRange{100, 600'000};

std::optional<control_settings> readControlSettings(const json_document &document, std::vector<failure> &failures)
{
    const std::size_t failuresBefore = failures.size();
    control_settings settings;
    settings_reader reader(document.root(), failures);
    settings.controller = reader.text("controller");
    settings.platform = reader.address("platform");
    reader.object("admin", true, [&settings](settings_reader &admin) {
        settings.adminListen = admin.address("listen");
        settings.adminToken = admin.text("token");
        if (!settings.adminToken.empty() && settings.adminToken.size() < minTokenLength) {
            admin.report(failure_code::OutOfRange, "token", "token", "at least 16 characters");
        }
    });
    settings.stepInterval = std::chrono::milliseconds(reader.integer("step_ms", stepRange, 1'000));
    // Reading the VM list more often gains little: it lags anyway, and it grows with the fleet (about 130 bytes per VM).
    settings.vmListInterval = std::chrono::milliseconds(reader.integer("vm_list_ms", vmListRange, 5'000));
    // Must be longer than the platform takes to reboot a VM; see docs/OPERATIONS.md.
    settings.rebootGrace = std::chrono::milliseconds(reader.integer("reboot_grace_ms", rebootGraceRange, 30'000));
    reader.finish();
    if (failures.size() != failuresBefore) {
        return std::nullopt;
    }
    return settings;
}

} // namespace

std::optional<control_settings> loadControlSettings(const std::string &path, std::vector<failure> &failures)
{
    failure reason;
    const std::optional<json_document> document = json_document::load(path, reason);
    if (!document) {
        failures.push_back(reason);
        return std::nullopt;
    }
    return readControlSettings(*document, failures);
}

std::optional<control_settings> parseControlSettings(std::string_view text, std::string_view file, std::vector<failure> &failures)
{
    failure reason;
    const std::optional<json_document> document = json_document::parse(text, file, reason);
    if (!document) {
        failures.push_back(reason);
        return std::nullopt;
    }
    return readControlSettings(*document, failures);
}

} // namespace daisypass
