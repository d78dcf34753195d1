// Tests the parser of the settings of daisypass-entry.

#include "entry/entry_settings.h"

#include <doctest/doctest.h>

using namespace daisypass;

namespace {

constexpr std::string_view required = R"("entry": "entry-1", "availability_zone": "z", "callers_listen": "127.0.0.1:0",
    "peers_listen": "127.0.0.1:0", "platform": "127.0.0.1:9000")";

std::vector<failure> failuresOf(const std::string &text)
{
    std::vector<failure> failures;
    const std::optional<entry_settings> settings = parseEntrySettings(text, "entry.json", failures);
    CHECK(settings.has_value() == failures.empty());
    return failures;
}

} // namespace

TEST_CASE("settings of the entry are checked as a whole")
{
    SUBCASE("required keys suffice, and comments are allowed")
    {
        std::vector<failure> failures;
        const std::optional<entry_settings> settings = parseEntrySettings("{ /* entry */ " + std::string(required) + "}", "entry.json", failures);
        REQUIRE(settings);
        CHECK(settings->callersListen.port == 0);
        CHECK_FALSE(settings->callersAdvertise);
        CHECK(settings->limits.connections == 2'000);
    }

    // Guards against an entry that starts with some settings ignored, or that reports only the first mistake.
    SUBCASE("each mistake is reported with its key")
    {
        struct mistake
        {
            std::string_view extra;
            failure_code code;
            std::string_view argument;
        };
        const std::vector<mistake> mistakes{
            {R"("limits": {"connections": 0})", failure_code::OutOfRange, "connections"},
            {R"("limits": {"connections": "many"})", failure_code::WrongType, "connections"},
            {R"("limits": {"conections": 5})", failure_code::UnknownKey, "conections"},
            {R"("threads": {"callers": 65})", failure_code::OutOfRange, "callers"},
            {R"("threads": 4)", failure_code::WrongType, ""},
            {R"("intervals": {"poll_ms": 5000})", failure_code::OutOfRange, "poll_ms"},
            {R"("intervals": {"outcomes_ms": 1000})", failure_code::OutOfRange, "outcomes_ms"},
            {R"("callers_advertise": "localhost:80")", failure_code::BadAddress, "callers_advertise"},
            {R"("callers_advertise": "127.0.0.1:0")", failure_code::OutOfRange, "callers_advertise"},
            {R"("port": 80)", failure_code::UnknownKey, "port"},
            {R"("entry": "entry-2")", failure_code::Duplicate, "entry"},
        };
        for (const mistake &wrong : mistakes) {
            CAPTURE(wrong.extra);
            const std::vector<failure> failures = failuresOf("{" + std::string(required) + ", " + std::string(wrong.extra) + "}");
            REQUIRE(failures.size() == 1);
            CHECK(failures[0].code == wrong.code);
            CHECK(failures[0].argument == wrong.argument);
            CHECK(failures[0].where.line > 0);
        }
    }

    SUBCASE("all mistakes are reported at once")
    {
        CHECK(failuresOf("{}").size() == 5);
        CHECK(failuresOf(R"({"entry": 1, "availability_zone": "", "callers_listen": "x", "peers_listen": "y", "platform": "z", "w": 1})").size() == 6);
        CHECK(failuresOf("[]").size() >= 1);
        CHECK(failuresOf("{").size() == 1);
    }
}
