// Tests of settings files: positions in failures, duplicate keys, types and ranges.

#include "base/json_document.h"
#include "base/settings_reader.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace daisypass;

namespace {

struct invalid_text
{
    const char *text;
    failure_code code;
    int line;
    int column;
};

struct invalid_setting
{
    const char *text;
    failure_code code;
    const char *argument;
    int line;
};

std::vector<failure> readSample(const char *text)
{
    failure reason;
    const std::optional<json_document> document = json_document::parse(text, "sample.json", reason);
    REQUIRE(document);
    std::vector<failure> failures;
    settings_reader reader(document->root(), failures);
    reader.integer("threads", {1, 64}, 4);
    reader.number("share", {0, 1}, 0.5);
    reader.text("zone");
    reader.address("listen", endpoint{"127.0.0.1", 0});
    reader.object("limits", false, [](settings_reader &limits) {
        limits.integer("body_bytes", {1, 1 << 20}, 1024);
    });
    reader.finish();
    return failures;
}

} // namespace

TEST_CASE("a syntax error names its line and column")
{
    // Without a position, an operator would have to search a large file for a missing comma.
    const std::vector<invalid_text> table{
        {"{", failure_code::SyntaxError, 1, 1},
        {"{\n  \"a\": 1,\n  \"a\": 2\n}", failure_code::Duplicate, 3, 5},
        {"{\n  \"a\" 1\n}", failure_code::SyntaxError, 2, 7},
        {"", failure_code::SyntaxError, 1, 0},
        {"{} x", failure_code::SyntaxError, 1, 4},
    };
    for (const invalid_text &row : table) {
        CAPTURE(row.text);
        failure reason;
        CHECK_FALSE(json_document::parse(row.text, "sample.json", reason));
        CHECK(reason.code == row.code);
        CHECK(reason.where.line == row.line);
        CHECK(reason.where.column == row.column);
    }
}

TEST_CASE("comments are allowed and values keep their types")
{
    failure reason;
    const std::optional<json_document> document = json_document::parse("// head\n{\"a\": [1, 2.5, true, null, \"x\"] /* tail */}", "sample.json", reason);
    REQUIRE(document);
    const json_array &values = std::get<json_array>(document->root().find("a")->data);
    CHECK(std::get<std::int64_t>(values[0]->data) == 1);
    CHECK(std::get<double>(values[1]->data) == 2.5);
    CHECK(std::get<bool>(values[2]->data));
    CHECK(std::holds_alternative<std::nullptr_t>(values[3]->data));
    CHECK(std::get<std::string>(values[4]->data) == "x");
    CHECK(values[4]->where.line == 2);
}

TEST_CASE("a settings error names the key, the position and what was expected")
{
    const std::vector<invalid_setting> table{
        {"{}", failure_code::MissingKey, "zone", 1},
        {"{\n\"zone\": \"a\",\n\"thread\": 1}", failure_code::UnknownKey, "thread", 3},
        {"{\"zone\": \"a\",\n\"threads\": 65}", failure_code::OutOfRange, "threads", 2},
        {"{\"zone\": \"a\",\n\"threads\": \"4\"}", failure_code::WrongType, "threads", 2},
        {"{\"zone\": \"a\",\n\"threads\": 99999999999999999999}", failure_code::WrongType, "threads", 2},
        {"{\"zone\": 5}", failure_code::WrongType, "zone", 1},
        {"{\"zone\": \"a\", \"share\": 1.01}", failure_code::OutOfRange, "share", 1},
        {"{\"zone\": \"a\", \"listen\": \"localhost:80\"}", failure_code::BadAddress, "listen", 1},
        {"{\"zone\": \"a\", \"limits\": {\"body\": 1}}", failure_code::UnknownKey, "body", 1},
        {"[]", failure_code::WrongType, "", 1},
    };
    for (const invalid_setting &row : table) {
        CAPTURE(row.text);
        const std::vector<failure> failures = readSample(row.text);
        REQUIRE_FALSE(failures.empty());
        CHECK(failures.front().code == row.code);
        CHECK(failures.front().argument == row.argument);
        CHECK(failures.front().where.line == row.line);
    }

    SUBCASE("all errors of a file are reported together")
    {
        CHECK(readSample("{\"thread\": 1, \"share\": 2, \"listen\": \"x\"}").size() == 4);
    }
}

TEST_CASE("any input is either parsed or rejected with a position")
{
    // Guards against crashes and infinite loops on malformed input.
    rc::check([](const std::string &text) {
        failure reason;
        if (!json_document::parse(text, "fuzz", reason)) {
            RC_ASSERT(reason.code != failure_code::None);
            RC_ASSERT(reason.where.line >= 1);
        }
    });
    rc::check([] {
        const std::string alphabet = "{}[]\",:0123456789.eE-+truefalsn/* \n\\u";
        const std::string text = *rc::gen::container<std::string>(rc::gen::elementOf(alphabet));
        failure reason;
        RC_ASSERT(json_document::parse(text, "fuzz", reason) || reason.code != failure_code::None);
    });
}
