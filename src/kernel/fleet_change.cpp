#include "kernel/fleet_change.h"

#include <nlohmann/json.hpp>

#include <array>
#include <set>
#include <utility>

namespace daisypass {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 3> causeNames{"maintenance", "move", "removal"};

// In the order of the alternatives of fleet_change.
constexpr std::array<std::string_view, std::variant_size_v<fleet_change>> changeNames{"configuration_applied",
                                                                                      "entry_joined",
                                                                                      "entry_left",
                                                                                      "entry_removed",
                                                                                      "drain_begun",
                                                                                      "drain_cancelled",
                                                                                      "vm_stopped",
                                                                                      "vm_returned",
                                                                                      "vm_failed",
                                                                                      "vm_recovered",
                                                                                      "vm_moved"};

std::string withEpoch(const std::string &vm, std::uint64_t epoch)
{
    return ' ' + vm + " epoch " + std::to_string(epoch);
}

struct change_describer
{
    std::string operator()(const configuration_applied &change) const
    {
        std::string text = " base " + std::to_string(change.base) + " by " + change.author;
        for (const file_reference &file : change.changed) {
            text += ' ' + file.name;
        }
        for (const std::string &file : change.removed) {
            text += " -" + file;
        }
        return text;
    }

    std::string operator()(const drain_begun &change) const
    {
        return withEpoch(change.vm, change.epoch) + ' ' + std::string(causeNames.at(static_cast<std::size_t>(change.cause))) + ' ' + change.detail;
    }

    std::string operator()(const vm_stopped &change) const
    {
        return withEpoch(change.vm, change.epoch) + ", " + std::to_string(change.confirmations.size()) + " confirmations";
    }

    std::string operator()(const vm_moved &change) const
    {
        return withEpoch(change.vm, change.epoch) + " to " + change.pool;
    }

    template<typename T>
    std::string operator()(const T &change) const
    {
        if constexpr (requires { change.entry; }) {
            return ' ' + change.entry;
        } else if constexpr (requires { change.epoch; }) {
            return withEpoch(change.vm, change.epoch);
        } else {
            return ' ' + change.vm;
        }
    }
};

json encodeFiles(const std::vector<file_reference> &files)
{
    json list = json::object();
    for (const file_reference &file : files) {
        list[file.name] = file.hash;
    }
    return list;
}

struct change_encoder
{
    json operator()(const configuration_applied &change) const
    {
        return {{"type", "configuration_applied"},
                {"base", change.base},
                {"changed", encodeFiles(change.changed)},
                {"removed", change.removed},
                {"author", change.author}};
    }

    json operator()(const entry_joined &change) const
    {
        return {{"type", "entry_joined"},
                {"entry", change.entry},
                {"incarnation", change.incarnation},
                {"callers", toString(change.callers)},
                {"peers", toString(change.peers)},
                {"availability_zone", change.availabilityZone}};
    }

    json operator()(const entry_left &change) const
    {
        return {{"type", "entry_left"}, {"entry", change.entry}, {"incarnation", change.incarnation}};
    }

    json operator()(const entry_removed &change) const
    {
        return {{"type", "entry_removed"}, {"entry", change.entry}, {"incarnation", change.incarnation}};
    }

    json operator()(const drain_begun &change) const
    {
        return {{"type", "drain_begun"},
                {"vm", change.vm},
                {"epoch", change.epoch},
                {"cause", causeNames.at(static_cast<std::size_t>(change.cause))},
                {"detail", change.detail}};
    }

    json operator()(const drain_cancelled &change) const
    {
        return {{"type", "drain_cancelled"}, {"vm", change.vm}, {"epoch", change.epoch}};
    }

    json operator()(const vm_stopped &change) const
    {
        json confirmations = json::array();
        for (const drain_confirmation &confirmation : change.confirmations) {
            confirmations.push_back({{"entry", confirmation.entry}, {"incarnation", confirmation.incarnation}});
        }
        return {{"type", "vm_stopped"}, {"vm", change.vm}, {"epoch", change.epoch}, {"confirmations", std::move(confirmations)}};
    }

    json operator()(const vm_returned &change) const
    {
        return {{"type", "vm_returned"}, {"vm", change.vm}, {"epoch", change.epoch}};
    }

    json operator()(const vm_failed &change) const
    {
        return {{"type", "vm_failed"}, {"vm", change.vm}};
    }

    json operator()(const vm_recovered &change) const
    {
        return {{"type", "vm_recovered"}, {"vm", change.vm}};
    }

    json operator()(const vm_moved &change) const
    {
        return {{"type", "vm_moved"}, {"vm", change.vm}, {"epoch", change.epoch}, {"pool", change.pool}};
    }
};

// Reads the members of a JSON object. The first failure is stored in `reason`, and reads after it have no effect.
class member_reader
{
public:
    member_reader(const json &object, failure &reason)
        : m_object(object)
        , m_reason(reason)
        , m_valid(object.is_object())
    {
        if (!m_valid) {
            m_reason = failure{failure_code::WrongType, "change", {}, "an object"};
        }
    }

    void read(const char *key, std::string &value)
    {
        if (const json *member = findMember(key, "a string")) {
            member->is_string() ? void(value = member->get<std::string>()) : wrongType(key, "a string");
        }
    }

    void read(const char *key, std::uint64_t &value)
    {
        if (const json *member = findMember(key, "an unsigned integer")) {
            member->is_number_unsigned() ? void(value = member->get<std::uint64_t>()) : wrongType(key, "an unsigned integer");
        }
    }

    void read(const char *key, endpoint &value)
    {
        std::string text;
        read(key, text);
        if (m_valid) {
            std::optional<endpoint> address = parseEndpoint(text, m_reason);
            m_valid = address.has_value();
            value = address.value_or(endpoint{});
        }
    }

    void read(const char *key, drain_cause &value)
    {
        std::string text;
        read(key, text);
        for (std::size_t index = 0; index < causeNames.size(); ++index) {
            if (causeNames.at(index) == text) {
                value = static_cast<drain_cause>(index);
                return;
            }
        }
        if (m_valid) {
            wrongType(key, "maintenance, move or removal");
        }
    }

    void read(const char *key, std::vector<std::string> &value)
    {
        const json *member = findMember(key, "an array of strings");
        if (member == nullptr || !member->is_array()) {
            return wrongType(key, "an array of strings");
        }
        for (const json &item : *member) {
            item.is_string() ? value.push_back(item.get<std::string>()) : wrongType(key, "an array of strings");
        }
    }

    void read(const char *key, std::vector<file_reference> &value)
    {
        const json *member = findMember(key, "an object of strings");
        if (member == nullptr || !member->is_object()) {
            return wrongType(key, "an object of strings");
        }
        for (auto item = member->begin(); item != member->end(); ++item) {
            item->is_string() ? value.push_back({item.key(), item->get<std::string>()}) : wrongType(key, "an object of strings");
        }
    }

    void read(const char *key, std::vector<drain_confirmation> &value)
    {
        const json *member = findMember(key, "an array of objects");
        if (member == nullptr || !member->is_array()) {
            return wrongType(key, "an array of objects");
        }
        for (const json &item : *member) {
            member_reader reader(item, m_reason);
            drain_confirmation confirmation;
            reader.read("entry", confirmation.entry);
            reader.read("incarnation", confirmation.incarnation);
            m_valid = reader.finish() && m_valid;
            value.push_back(std::move(confirmation));
        }
    }

    const json *array(const char *key)
    {
        const json *member = findMember(key, "an array");
        if (member != nullptr && !member->is_array()) {
            wrongType(key, "an array");
            return nullptr;
        }
        return member;
    }

    bool finish()
    {
        if (m_valid && m_readKeys.size() != m_object.size()) {
            for (auto item = m_object.begin(); item != m_object.end(); ++item) {
                if (!m_readKeys.contains(item.key())) {
                    m_reason = failure{failure_code::UnknownKey, item.key()};
                }
            }
            m_valid = false;
        }
        return m_valid;
    }

private:
    const json *findMember(const char *key, const char *expected)
    {
        if (!m_valid) {
            return nullptr;
        }
        m_readKeys.emplace(key);
        const auto found = m_object.find(key);
        if (found == m_object.end()) {
            m_reason = failure{failure_code::MissingKey, key, {}, expected};
            m_valid = false;
            return nullptr;
        }
        return &*found;
    }

    void wrongType(const char *key, const char *expected)
    {
        if (m_valid) {
            m_reason = failure{failure_code::WrongType, key, {}, expected};
            m_valid = false;
        }
    }

    const json &m_object;
    failure &m_reason;
    bool m_valid;
    std::set<std::string, std::less<>> m_readKeys;
};

void readMembers(member_reader &reader, configuration_applied &change)
{
    reader.read("base", change.base);
    reader.read("changed", change.changed);
    reader.read("removed", change.removed);
    reader.read("author", change.author);
}

void readMembers(member_reader &reader, entry_joined &change)
{
    reader.read("entry", change.entry);
    reader.read("incarnation", change.incarnation);
    reader.read("callers", change.callers);
    reader.read("peers", change.peers);
    reader.read("availability_zone", change.availabilityZone);
}

void readMembers(member_reader &reader, entry_left &change)
{
    reader.read("entry", change.entry);
    reader.read("incarnation", change.incarnation);
}

void readMembers(member_reader &reader, entry_removed &change)
{
    reader.read("entry", change.entry);
    reader.read("incarnation", change.incarnation);
}

void readMembers(member_reader &reader, drain_begun &change)
{
    reader.read("vm", change.vm);
    reader.read("epoch", change.epoch);
    reader.read("cause", change.cause);
    reader.read("detail", change.detail);
}

void readMembers(member_reader &reader, vm_stopped &change)
{
    reader.read("vm", change.vm);
    reader.read("epoch", change.epoch);
    reader.read("confirmations", change.confirmations);
}

void readMembers(member_reader &reader, vm_moved &change)
{
    reader.read("vm", change.vm);
    reader.read("epoch", change.epoch);
    reader.read("pool", change.pool);
}

template<typename T>
requires std::is_same_v<T, drain_cancelled> || std::is_same_v<T, vm_returned>
void readMembers(member_reader &reader, T &change)
{
    reader.read("vm", change.vm);
    reader.read("epoch", change.epoch);
}

template<typename T>
requires std::is_same_v<T, vm_failed> || std::is_same_v<T, vm_recovered>
void readMembers(member_reader &reader, T &change)
{
    reader.read("vm", change.vm);
}

template<typename T>
std::optional<fleet_change> decodeAs(member_reader &reader)
{
    T change;
    readMembers(reader, change);
    if (!reader.finish()) {
        return std::nullopt;
    }
    return change;
}

std::optional<fleet_change> decodeChange(const json &object, failure &reason)
{
    using decoder = std::optional<fleet_change> (*)(member_reader &);
    static constexpr std::array<std::pair<std::string_view, decoder>, 11> decoders{{
        {"configuration_applied", decodeAs<configuration_applied>},
        {"entry_joined", decodeAs<entry_joined>},
        {"entry_left", decodeAs<entry_left>},
        {"entry_removed", decodeAs<entry_removed>},
        {"drain_begun", decodeAs<drain_begun>},
        {"drain_cancelled", decodeAs<drain_cancelled>},
        {"vm_stopped", decodeAs<vm_stopped>},
        {"vm_returned", decodeAs<vm_returned>},
        {"vm_failed", decodeAs<vm_failed>},
        {"vm_recovered", decodeAs<vm_recovered>},
        {"vm_moved", decodeAs<vm_moved>},
    }};
    member_reader reader(object, reason);
    std::string type;
    reader.read("type", type);
    for (const std::pair<std::string_view, decoder> &candidate : decoders) {
        if (candidate.first == type) {
            return candidate.second(reader);
        }
    }
    if (!type.empty()) {
        reason = failure{failure_code::UnknownKey, type, {}, "the type of a change"};
    }
    return std::nullopt;
}

} // namespace

std::string_view changeName(const fleet_change &change)
{
    return changeNames.at(change.index());
}

std::string describeChange(const fleet_change &change)
{
    return std::string(changeName(change)) + std::visit(change_describer{}, change);
}

std::string encodeRecord(const log_record &record)
{
    json changes = json::array();
    for (const fleet_change &change : record.changes) {
        changes.push_back(std::visit(change_encoder{}, change));
    }
    const json encoded{{"revision", record.revision}, {"write_id", record.writeId}, {"at_us", record.at.count()}, {"changes", std::move(changes)}};
    // Names from configuration files may contain invalid UTF-8. Replacing it prevents an exception in the controller.
    return encoded.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<log_record> decodeRecord(std::string_view text, failure &reason)
{
    const json parsed = json::parse(text, nullptr, false);
    if (parsed.is_discarded()) {
        reason = failure{failure_code::SyntaxError, "log record", {}, "a JSON object"};
        return std::nullopt;
    }
    member_reader reader(parsed, reason);
    log_record record;
    std::uint64_t at = 0;
    reader.read("revision", record.revision);
    reader.read("write_id", record.writeId);
    reader.read("at_us", at);
    const json *changes = reader.array("changes");
    if (changes == nullptr || !reader.finish()) {
        return std::nullopt;
    }
    record.at = timestamp(static_cast<std::int64_t>(at));
    for (const json &item : *changes) {
        std::optional<fleet_change> change = decodeChange(item, reason);
        if (!change) {
            return std::nullopt;
        }
        record.changes.push_back(std::move(*change));
    }
    return record;
}

} // namespace daisypass
