#include "entry/entry_settings.h"

#include "base/json_document.h"

namespace daisypass {
namespace {

constexpr std::int64_t oneHourMs = 3'600'000;
// Outcomes must be kept longer than the 10 minutes in which a ticket may start a run.
constexpr integer_range outcomesMs{660'000, oneHourMs};
constexpr std::int64_t mebibyte = std::int64_t{1} << 20;

std::chrono::milliseconds readTime(settings_reader &reader, std::string_view key, integer_range range, std::chrono::milliseconds fallback)
{
    return std::chrono::milliseconds(reader.integer(key, range, fallback.count()));
}

void readLimits(settings_reader &reader, entry_limits &limits)
{
    limits.connections = static_cast<int>(reader.integer("connections", {1, 100'000}, limits.connections));
    limits.bodyBytes = static_cast<std::size_t>(reader.integer("body_bytes", {0, 64 * mebibyte}, static_cast<std::int64_t>(limits.bodyBytes)));
    limits.headerBytes = static_cast<std::size_t>(reader.integer("header_bytes", {1'024, mebibyte}, static_cast<std::int64_t>(limits.headerBytes)));
    limits.callerRead = readTime(reader, "caller_read_ms", {100, oneHourMs}, limits.callerRead);
    limits.heldOutcomeBytes
        = static_cast<std::size_t>(reader.integer("held_outcome_bytes", {mebibyte, 16'384 * mebibyte}, static_cast<std::int64_t>(limits.heldOutcomeBytes)));
    limits.waitingClaims = static_cast<std::size_t>(reader.integer("waiting_claims", {1, 1'000'000}, static_cast<std::int64_t>(limits.waitingClaims)));
}

void readThreads(settings_reader &reader, entry_threads &threads)
{
    constexpr integer_range range{1, 64};
    threads.callers = static_cast<int>(reader.integer("callers", range, threads.callers));
    threads.targets = static_cast<int>(reader.integer("targets", range, threads.targets));
}

void readIntervals(settings_reader &reader, entry_intervals &intervals)
{
    intervals.poll = readTime(reader, "poll_ms", {50, 1'000}, intervals.poll);
    intervals.shutdown = readTime(reader, "shutdown_ms", {0, oneHourMs}, intervals.shutdown);
    intervals.leave = readTime(reader, "leave_ms", {0, oneHourMs}, intervals.leave);
    intervals.outcomes = readTime(reader, "outcomes_ms", outcomesMs, intervals.outcomes);
}

entry_settings readSettings(settings_reader &reader)
{
    entry_settings settings;
    settings.entry = reader.text("entry");
    settings.availabilityZone = reader.text("availability_zone");
    settings.callersListen = reader.address("callers_listen");
    settings.peersListen = reader.address("peers_listen");
    for (const std::string_view key : {"callers_advertise", "peers_advertise"}) {
        std::optional<endpoint> &advertised = key == "callers_advertise" ? settings.callersAdvertise : settings.peersAdvertise;
        if (reader.has(key)) {
            advertised = reader.address(key);
            if (advertised->port == 0 && !advertised->address.empty()) {
                reader.report(failure_code::OutOfRange, key, key, "a port from 1 to 65535");
            }
        } else {
            // Register the key as known although it is absent.
            reader.address(key, endpoint{});
        }
    }
    settings.platform = reader.address("platform");
    reader.object("limits", false, [&](settings_reader &limits) {
        readLimits(limits, settings.limits);
    });
    reader.object("threads", false, [&](settings_reader &threads) {
        readThreads(threads, settings.threads);
    });
    reader.object("intervals", false, [&](settings_reader &intervals) {
        readIntervals(intervals, settings.intervals);
    });
    reader.finish();
    return settings;
}

std::optional<entry_settings> readDocument(const std::optional<json_document> &document, const failure &reason, std::vector<failure> &failures)
{
    if (!document) {
        failures.push_back(reason);
        return std::nullopt;
    }
    const std::size_t before = failures.size();
    settings_reader reader(document->root(), failures);
    entry_settings settings = readSettings(reader);
    return failures.size() == before ? std::optional<entry_settings>(std::move(settings)) : std::nullopt;
}

} // namespace

std::optional<entry_settings> parseEntrySettings(std::string_view text, std::string_view file, std::vector<failure> &failures)
{
    failure reason;
    const std::optional<json_document> document = json_document::parse(text, file, reason);
    return readDocument(document, reason, failures);
}

std::optional<entry_settings> loadEntrySettings(const std::string &path, std::vector<failure> &failures)
{
    failure reason;
    const std::optional<json_document> document = json_document::load(path, reason);
    return readDocument(document, reason, failures);
}

} // namespace daisypass
