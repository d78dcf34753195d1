#include "base/log.h"

#include "base/clock.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/trivial.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <nlohmann/json.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <mutex>

namespace daisypass {
namespace {

// A reader can follow at most a few hundred lines per second, so one event must not crowd out the others.
constexpr int maxLinesPerSecondPerEvent = 40;
// PIPE_BUF: a pipe that poll() reports as writable accepts this many bytes without blocking.
constexpr std::size_t maxLineBytes = 4'096;

struct identity
{
    std::string program;
    std::string instance;
};

identity &processIdentity()
{
    static identity self;
    return self;
}

std::atomic<std::uint64_t> dropped{0};

bool outputIsWritable()
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

// Writes a line if standard output accepts it without blocking, and counts it as dropped otherwise.
class output_backend : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::synchronized_feeding>
{
public:
    static void consume(const boost::log::record_view &, const string_type &text)
    {
        std::string line = text.substr(0, maxLineBytes - 1);
        line += '\n';
        if (!outputIsWritable()) {
            ++dropped;
            return;
        }
        const ssize_t written = write(STDOUT_FILENO, line.data(), line.size());
        if (written != static_cast<ssize_t>(line.size())) {
            ++dropped;
        }
    }
};

log_rate_limiter &processRateLimiter()
{
    static log_rate_limiter limiter(maxLinesPerSecondPerEvent);
    return limiter;
}

} // namespace

log_rate_limiter::log_rate_limiter(int maxLinesPerSecond)
    : m_maxLinesPerSecond(maxLinesPerSecond)
{
}

std::int64_t log_rate_limiter::admit(std::string_view event, std::int64_t nowMs)
{
    constexpr std::int64_t millisPerSecond = 1'000;
    auto found = std::find_if(m_windows.begin(), m_windows.end(), [&](const event_window &window) {
        return window.event == event;
    });
    if (found == m_windows.end()) {
        m_windows.push_back({std::string(event)});
        found = std::prev(m_windows.end());
    }
    if (found->second != nowMs / millisPerSecond) {
        found->second = nowMs / millisPerSecond;
        found->lines = 0;
    }
    if (found->lines >= m_maxLinesPerSecond) {
        ++found->dropped;
        return -1;
    }
    ++found->lines;
    return std::exchange(found->dropped, 0);
}

void startLog(std::string_view program, std::string_view instance)
{
    processIdentity() = identity{std::string(program), std::string(instance)};
    using output_sink = boost::log::sinks::synchronous_sink<output_backend>;
    const boost::shared_ptr<output_sink> sink = boost::make_shared<output_sink>();
    sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(sink);
}

void logEvent(std::string_view event, const std::vector<log_field> &fields)
{
    static std::mutex lock;
    const std::lock_guard<std::mutex> guard(lock);
    const std::int64_t now = unixMillis();
    const std::int64_t droppedBefore = processRateLimiter().admit(event, now);
    if (droppedBefore < 0) {
        ++dropped;
        return;
    }
    nlohmann::ordered_json line;
    line["time_ms"] = now;
    line["program"] = processIdentity().program;
    line["instance"] = processIdentity().instance;
    line["event"] = event;
    for (const log_field &field : fields) {
        std::visit(
            [&](const auto &value) {
                line[field.name] = value;
            },
            field.value);
    }
    if (droppedBefore > 0) {
        line["lines_dropped"] = droppedBefore;
    }
    // Field values can contain bytes from outside the process, so invalid UTF-8 is replaced instead of throwing an exception.
    BOOST_LOG_TRIVIAL(info) << line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::uint64_t droppedLogLines()
{
    return dropped;
}

} // namespace daisypass
