#include "platform/json_cost.h"

#include <doctest/doctest.h>

#include <string>

using namespace daisypass;

namespace {

constexpr std::size_t legalBodyBytes = 262'144;

std::string listOf(const std::string &item, std::size_t bytes)
{
    std::string text = R"({"Steps":[)" + item;
    while (text.size() + item.size() + 3 <= bytes) {
        text += ',' + item;
    }
    return text + "]}";
}

} // namespace

// Guards against a body of legal size whose document takes tens of times its memory and processor time.
TEST_CASE("a caller's text is parsed only if the document isn't many times larger")
{
    SUBCASE("the largest job, of 1,000 steps with all fields, is parsed")
    {
        const std::string step = R"({"Count":1,"Cpu":1,"MemMb":1,"Gpu":1,"EstimateMs":1,"After":[0],"Checkpointing":true,"Gang":true,"SameRack":true,)"
                                 R"("Requires":"a","Affinity":"r","AntiAffinity":1,"Speculative":true,"LongRunning":true,"Image":"i","TargetMs":1,)"
                                 R"("Fills":true,"AllowMiss":1})";
        constexpr std::size_t mostSteps = 1'000;
        CHECK(wire::isCheapToParse(listOf(step, mostSteps * (step.size() + 1))));
        std::string after = R"({"After":[0)";
        for (int i = 1; i < 50'000; ++i) {
            after += ",0";
        }
        CHECK(wire::isCheapToParse(listOf(after + "]}", legalBodyBytes)));
        CHECK(wire::isCheapToParse(R"({"Spec":")" + std::string(4'000, '[') + R"(","Steps":[{"Count":1}]})"));
        CHECK(wire::isCheapToParse(R"({"Spec":")" + std::string(4'000, '\\') + R"(","Steps":[{"Count":1}]})"));
    }
    SUBCASE("one of very many fields, objects or lists isn't")
    {
        CHECK_FALSE(wire::isCheapToParse(listOf(R"({})", legalBodyBytes)));
        CHECK_FALSE(wire::isCheapToParse(listOf(R"([])", legalBodyBytes)));
        CHECK_FALSE(wire::isCheapToParse(listOf(R"({"":0})", legalBodyBytes)));
    }
    SUBCASE("nor is one that is nested deeply")
    {
        CHECK(wire::isCheapToParse(R"({"Steps":)" + std::string(15, '[') + std::string(600, ' ') + std::string(15, ']') + '}'));
        CHECK_FALSE(wire::isCheapToParse(R"({"Steps":)" + std::string(1'000, '[') + std::string(1'000, ']') + '}'));
    }
    SUBCASE("a string or an escape that the text's end cuts off ends the check")
    {
        CHECK(wire::isCheapToParse(std::string(600, ' ') + '"'));
        CHECK(wire::isCheapToParse(std::string(600, ' ') + "\"\\"));
    }
}
