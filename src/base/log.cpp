#include "base/log.h"

#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <iostream>

namespace daisypass {
namespace {

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

} // namespace

void startLog(std::string_view program, std::string_view instance)
{
    processIdentity() = identity{std::string(program), std::string(instance)};
    boost::log::add_console_log(std::clog,
                                boost::log::keywords::format = boost::log::expressions::stream << boost::log::expressions::smessage,
                                boost::log::keywords::auto_flush = true);
}

void logChange(std::string_view event, const std::vector<log_field> &fields)
{
    const std::chrono::system_clock::duration sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    nlohmann::ordered_json line;
    line["time_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
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
    // Names and arguments can carry bytes from outside, so invalid UTF-8 is replaced instead of thrown on.
    BOOST_LOG_TRIVIAL(info) << line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace daisypass
