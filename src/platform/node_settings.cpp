#include "platform/node_settings.h"

#include "base/saturating_cast.h"

#include <charconv>
#include <cmath>
#include <fstream>
#include <map>
#include <sstream>

namespace daisypass {
namespace {

struct line_value
{
    std::string text;
    int line = 0;
};

using line_map = std::map<std::string, line_value, std::less<>>;

constexpr double millisPerSecond = 1'000.0;
// Sums and products of a few settings fit in 64 bits below this.
constexpr double maxNumber = 1e12;

std::string_view trimmed(std::string_view text)
{
    const char *blanks = " \t\r";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

// Reads typed values of settings. Reports the first failure and ignores later ones; a value that can't be read is replaced by its
// fallback.
class settings_line_reader
{
public:
    settings_line_reader(const line_map &lines, std::string_view file, failure &reason)
        : m_lines(lines)
        , m_file(file)
        , m_reason(reason)
    {
    }

    bool ok() const
    {
        return m_ok;
    }

    std::string text(std::string_view key)
    {
        const line_value *value = find(key);
        if (value == nullptr || value->text.empty()) {
            fail(failure_code::MissingKey, key, 0, "a line " + std::string(key) + "=...");
            return {};
        }
        return value->text;
    }

    std::string textOr(std::string_view key, std::string_view fallback) const
    {
        const line_value *value = find(key);
        return value == nullptr || value->text.empty() ? std::string(fallback) : value->text;
    }

    double numberOr(std::string_view key, double fallback)
    {
        const line_value *value = find(key);
        if (value == nullptr || value->text.empty()) {
            return fallback;
        }
        double number = 0;
        const char *end = value->text.data() + value->text.size();
        const std::from_chars_result read = std::from_chars(value->text.data(), end, number);
        // What isn't a number compares false with everything.
        const bool inRange = number >= 0 && number <= maxNumber;
        if (read.ec != std::errc() || read.ptr != end || !inRange) {
            fail(failure_code::WrongType, key, value->line, "a number from 0 to 1e12");
            return fallback;
        }
        return number;
    }

    std::int64_t millisOr(std::string_view key, std::int64_t fallback)
    {
        return saturatingCast<std::int64_t>(std::round(numberOr(key, static_cast<double>(fallback))));
    }

    std::int64_t secondsAsMillisOr(std::string_view key, std::int64_t fallbackMs)
    {
        return saturatingCast<std::int64_t>(std::round(numberOr(key, static_cast<double>(fallbackMs) / millisPerSecond) * millisPerSecond));
    }

    bool flagOr(std::string_view key, bool fallback)
    {
        const line_value *value = find(key);
        if (value == nullptr || value->text.empty()) {
            return fallback;
        }
        if (value->text != "true" && value->text != "false") {
            fail(failure_code::WrongType, key, value->line, "true or false");
            return fallback;
        }
        return value->text == "true";
    }

    /** Whether the value, a list with commas, contains the item. */
    bool listContains(std::string_view key, std::string_view item) const
    {
        const std::string list = ',' + textOr(key, "") + ',';
        return list.find(',' + std::string(item) + ',') != std::string::npos;
    }

    endpoint address(std::string_view key)
    {
        const std::string value = text(key);
        return value.empty() ? endpoint{} : parse(key, value);
    }

    std::optional<endpoint> optionalAddress(std::string_view key)
    {
        const std::string value = textOr(key, "");
        if (value.empty()) {
            return std::nullopt;
        }
        return parse(key, value);
    }

private:
    const line_value *find(std::string_view key) const
    {
        const auto found = m_lines.find(key);
        return found == m_lines.end() ? nullptr : &found->second;
    }

    endpoint parse(std::string_view key, const std::string &value)
    {
        failure reason;
        const std::optional<endpoint> parsed = parseEndpoint(value, reason);
        if (!parsed) {
            fail(failure_code::BadAddress, key, find(key)->line, "IP:PORT");
            return {};
        }
        return *parsed;
    }

    void fail(failure_code code, std::string_view key, int line, std::string expected)
    {
        if (!m_ok) {
            return;
        }
        m_ok = false;
        m_reason = failure{code, std::string(key), {std::string(m_file), line, line > 0 ? 1 : 0}, std::move(expected)};
    }

    const line_map &m_lines;
    std::string_view m_file;
    failure &m_reason;
    bool m_ok = true;
};

std::optional<line_map> readLines(std::string_view text, std::string_view file, failure &reason)
{
    line_map lines;
    int number = 0;
    while (!text.empty()) {
        ++number;
        const std::size_t end = text.find('\n');
        const std::string_view line = trimmed(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
        if (line.empty()) {
            continue;
        }
        const std::size_t equals = line.find('=');
        if (equals == std::string_view::npos || equals == 0) {
            reason = failure{failure_code::SyntaxError, std::string(line.substr(0, 40)), {std::string(file), number, 1}, "name=value"};
            return std::nullopt;
        }
        lines[std::string(trimmed(line.substr(0, equals)))] = {std::string(trimmed(line.substr(equals + 1))), number};
    }
    return lines;
}

sched::bounds readBounds(settings_line_reader &reader)
{
    sched::bounds bounds;
    bounds.maxLeaseMs = reader.millisOr("Bounds.MaxHoldMs", bounds.maxLeaseMs);
    bounds.stopMs = reader.millisOr("Bounds.StopMs", bounds.stopMs);
    bounds.gangWaitMs = reader.millisOr("Bounds.GangWaitMs", bounds.gangWaitMs);
    bounds.noticeMs = reader.millisOr("Bounds.NoticeMs", bounds.noticeMs);
    bounds.moveMs = reader.secondsAsMillisOr("Bounds.MoveS", bounds.moveMs);
    bounds.maintenanceMs = reader.secondsAsMillisOr("Bounds.MaintenanceS", bounds.maintenanceMs);
    bounds.leaseMs = reader.millisOr("Bounds.LeaseMs", bounds.leaseMs);
    bounds.drainMs = reader.millisOr("Bounds.DrainMs", bounds.drainMs);
    bounds.statusKeepMs = reader.secondsAsMillisOr("Bounds.status_s", bounds.statusKeepMs);
    bounds.harmMs = reader.millisOr("Bounds.HarmMs", bounds.harmMs);
    bounds.checkpointMs = reader.secondsAsMillisOr("Bounds.CheckpointS", bounds.checkpointMs);
    bounds.farFactor = reader.numberOr("Bounds.FarFactor", bounds.farFactor);
    bounds.rowBytes = static_cast<std::size_t>(reader.millisOr("platform.RowBytes", static_cast<std::int64_t>(bounds.rowBytes)));
    bounds.fleetOrdersPerSecond = reader.numberOr("Cloud.DutyPerS", bounds.fleetOrdersPerSecond);
    return bounds;
}

std::uint16_t firstPort(const std::string &list)
{
    std::uint16_t port = 0;
    std::from_chars(list.data(), list.data() + list.size(), port);
    return port;
}

} // namespace

std::optional<node_settings> parseNodeSettings(std::string_view text, std::string_view file, failure &reason)
{
    const std::optional<line_map> lines = readLines(text, file, reason);
    if (!lines) {
        return std::nullopt;
    }
    settings_line_reader reader(*lines, file, reason);
    node_settings settings;
    settings.node = reader.text("Node");
    settings.availabilityZone = reader.text("Zone");
    settings.front = reader.address("Listen.Front");
    settings.ready = reader.address("Listen.Ready");
    settings.internalPort = firstPort(reader.textOr("InternalPorts", "0"));
    settings.store = reader.address("platform.Address");
    settings.fleet = reader.address("Cloud.Address");
    settings.advice = reader.optionalAddress("Advice");
    settings.cpuShare = reader.numberOr("Limits.CpuShare", 1.0);
    settings.memoryMb = reader.millisOr("Limits.MemoryMb", 256);
    settings.maxDescriptors = reader.millisOr("Limits.MaxFds", 1'024);
    settings.storeWritesPerSecond = reader.numberOr("platform.WritesPerS", 300);
    settings.storeReadsPerSecond = reader.numberOr("platform.ReadsPerS", 1'000);
    settings.storePartWritesPerSecond = reader.numberOr("platform.PartWritesS", 100);
    settings.executorHeartbeatMs = reader.millisOr("HeartbeatMs", settings.executorHeartbeatMs);
    settings.shutdownGraceMs = reader.secondsAsMillisOr("Bounds.GraceS", settings.shutdownGraceMs);
    settings.requiresKeys = reader.listContains("Contracts", "tenants");
    settings.strictRevocation = reader.flagOr("Bounds.StrictRevoke", settings.strictRevocation);
    settings.revocationMs = reader.millisOr("Bounds.RevokeMs", settings.revocationMs);
    settings.configurationApplyMs = reader.millisOr("Bounds.ConfigApplyMs", settings.configurationApplyMs);
    settings.bounds = readBounds(reader);
    if (!reader.ok()) {
        return std::nullopt;
    }
    return settings;
}

std::optional<node_settings> loadNodeSettings(const std::string &path, failure &reason)
{
    std::ifstream file(path);
    if (!file) {
        reason = failure{failure_code::FileUnreadable, path, {path}, "the settings file of the platform"};
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    return parseNodeSettings(text.str(), path, reason);
}

} // namespace daisypass
