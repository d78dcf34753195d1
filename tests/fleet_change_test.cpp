#include "kernel/fleet_change.h"
#include "property.h"

#include <doctest/doctest.h>

using namespace daisypass;

namespace {

std::string anyText()
{
    return *rc::gen::container<std::string>(rc::gen::inRange<char>(32, 127));
}

std::uint64_t anyNumber()
{
    return *rc::gen::element<std::uint64_t>(0, 1, 77, UINT64_MAX);
}

fleet_change anyChange()
{
    const endpoint address{"127.0.0.1", *rc::gen::arbitrary<std::uint16_t>()};
    switch (*rc::gen::inRange(0, 11)) {
    case 0:
        return configuration_applied{anyNumber(), {{"a.json", anyText()}, {"b/c.json", anyText()}}, {anyText()}, anyText()};
    case 1:
        return entry_joined{anyText(), anyNumber(), address, {"::1", 9}, anyText()};
    case 2:
        return entry_left{anyText(), anyNumber()};
    case 3:
        return entry_removed{anyText(), anyNumber()};
    case 4:
        return drain_begun{anyText(), anyNumber(), *rc::gen::element(drain_cause::Maintenance, drain_cause::Move, drain_cause::Removal), anyText()};
    case 5:
        return drain_cancelled{anyText(), anyNumber()};
    case 6:
        return vm_stopped{anyText(), anyNumber(), {{anyText(), anyNumber()}, {anyText(), anyNumber()}}};
    case 7:
        return vm_returned{anyText(), anyNumber()};
    case 8:
        return vm_failed{anyText()};
    case 9:
        return vm_recovered{anyText()};
    default:
        return vm_moved{anyText(), anyNumber(), anyText()};
    }
}

log_record anyRecord()
{
    log_record record{anyNumber(), anyText(), timestamp(*rc::gen::inRange<std::int64_t>(0, 1LL << 60)), {}};
    const int count = *rc::gen::inRange(0, 5);
    for (int index = 0; index < count; ++index) {
        record.changes.push_back(anyChange());
    }
    return record;
}

} // namespace

TEST_CASE("Log records survive encoding and decoding")
{
    // Guards against a field that is lost or changed by encoding or decoding.
    CHECK(propertyHolds(
        [] {
            const std::string text = encodeRecord(anyRecord());
            failure reason;
            const std::optional<log_record> decoded = decodeRecord(text, reason);
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(encodeRecord(*decoded) == text);
        },
        500));
}

TEST_CASE("A damaged log record is refused with a failure")
{
    // Guards against crashes on malformed rows, and against a damaged record that is decoded as the original one.
    CHECK(propertyHolds(
        [] {
            std::string text = encodeRecord(anyRecord());
            const std::string original = text;
            const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
            if (*rc::gen::arbitrary<bool>()) {
                text.resize(at);
            } else {
                text[at] = *rc::gen::arbitrary<char>();
            }
            failure reason;
            const std::optional<log_record> decoded = decodeRecord(text, reason);
            RC_ASSERT((decoded.has_value() || reason.code != failure_code::None));
            RC_ASSERT((!decoded || text == original || encodeRecord(*decoded) != original));
        },
        2'000));
    failure reason;
    CHECK_FALSE(decodeRecord(R"({"revision":1,"write_id":"w","at_us":1,"changes":[{"type":"vm_failed","vm":"a","extra":1}]})", reason));
    CHECK(reason.code == failure_code::UnknownKey);
    CHECK_FALSE(decodeRecord(R"({"revision":1,"write_id":"w","at_us":1,"changes":[{"type":"vm_failed"}]})", reason));
    CHECK(reason.code == failure_code::MissingKey);
    CHECK_FALSE(decodeRecord(R"({"revision":-1,"write_id":"w","at_us":1,"changes":[]})", reason));
    CHECK(reason.code == failure_code::WrongType);
}
