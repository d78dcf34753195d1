#include "base/json_document.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <sstream>

namespace daisypass {
namespace {

// The line and column that counting_iterator has reached. The lexer reads each character once and in order, so at each SAX event the counter
// is at the last character of the event's token. The exception is a number, whose end the lexer detects only by reading the next
// character.
struct position_counter
{
    int line = 1;
    int column = 0;
    int previousLine = 1;
    int previousColumn = 0;
    char lastCharacter = '\0';
};

bool isNumberCharacter(char c)
{
    return (c >= '0' && c <= '9') || c == '.' || c == '-' || c == '+' || c == 'e' || c == 'E';
}

class counting_iterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char *;
    using reference = const char &;

    counting_iterator(const char *at, position_counter *counter)
        : m_at(at)
        , m_counter(counter)
    {
    }

    reference operator*() const
    {
        return *m_at;
    }

    counting_iterator &operator++()
    {
        m_counter->previousLine = m_counter->line;
        m_counter->previousColumn = m_counter->column;
        m_counter->lastCharacter = *m_at;
        if (*m_at == '\n') {
            ++m_counter->line;
            m_counter->column = 0;
        } else {
            ++m_counter->column;
        }
        ++m_at;
        return *this;
    }

    bool operator==(const counting_iterator &other) const
    {
        return m_at == other.m_at;
    }

    bool operator!=(const counting_iterator &other) const
    {
        return m_at != other.m_at;
    }

private:
    const char *m_at;
    position_counter *m_counter;
};

class tree_builder : public nlohmann::json_sax<nlohmann::json>
{
public:
    tree_builder(std::string_view file, const position_counter &counter, failure &reason)
        : m_file(file)
        , m_counter(counter)
        , m_reason(reason)
    {
    }

    std::unique_ptr<json_value> takeRoot()
    {
        return std::move(m_root);
    }

    bool null() override
    {
        return add(nullptr);
    }

    bool boolean(bool value) override
    {
        return add(value);
    }

    bool number_integer(number_integer_t value) override
    {
        return addNumber(static_cast<std::int64_t>(value));
    }

    bool number_unsigned(number_unsigned_t value) override
    {
        return addNumber(static_cast<std::int64_t>(value));
    }

    bool number_float(number_float_t value, const string_t &) override
    {
        return addNumber(value);
    }

    bool string(string_t &value) override
    {
        return add(std::move(value));
    }

    bool binary(binary_t &) override
    {
        return false;
    }

    bool start_object(std::size_t) override
    {
        return openContainer(json_object{});
    }

    bool key(string_t &value) override
    {
        json_object &object = std::get<json_object>(m_openContainers.back()->data);
        for (const json_member &member : object) {
            if (member.key == value) {
                m_reason = failure{failure_code::Duplicate, value, currentPosition(), "each key once"};
                return false;
            }
        }
        object.push_back(json_member{std::move(value), currentPosition(), nullptr});
        return true;
    }

    bool end_object() override
    {
        m_openContainers.pop_back();
        return true;
    }

    bool start_array(std::size_t) override
    {
        return openContainer(json_array{});
    }

    bool end_array() override
    {
        m_openContainers.pop_back();
        return true;
    }

    bool parse_error(std::size_t, const std::string &token, const nlohmann::detail::exception &) override
    {
        const bool readAhead = !token.empty() && token.back() != m_counter.lastCharacter;
        m_reason = failure{failure_code::SyntaxError, token, readAhead ? previousPosition() : currentPosition(), "valid JSON (comments are allowed)"};
        return false;
    }

private:
    source_position currentPosition() const
    {
        return {m_file, m_counter.line, m_counter.column};
    }

    source_position previousPosition() const
    {
        return {m_file, m_counter.previousLine, m_counter.previousColumn};
    }

    template<typename T>
    bool add(T &&data)
    {
        insert(std::make_unique<json_value>(json_value{std::forward<T>(data), currentPosition()}));
        return true;
    }

    template<typename T>
    bool addNumber(T number)
    {
        insert(std::make_unique<json_value>(json_value{number, isNumberCharacter(m_counter.lastCharacter) ? currentPosition() : previousPosition()}));
        return true;
    }

    template<typename T>
    bool openContainer(T &&data)
    {
        m_openContainers.push_back(insert(std::make_unique<json_value>(json_value{std::forward<T>(data), currentPosition()})));
        return true;
    }

    json_value *insert(std::unique_ptr<json_value> value)
    {
        json_value *inserted = value.get();
        if (m_openContainers.empty()) {
            m_root = std::move(value);
        } else if (json_array *array = std::get_if<json_array>(&m_openContainers.back()->data)) {
            array->push_back(std::move(value));
        } else {
            std::get<json_object>(m_openContainers.back()->data).back().value = std::move(value);
        }
        return inserted;
    }

    std::string m_file;
    const position_counter &m_counter;
    failure &m_reason;
    std::unique_ptr<json_value> m_root;
    std::vector<json_value *> m_openContainers;
};

} // namespace

const json_value *json_value::find(std::string_view key) const
{
    const json_object *object = std::get_if<json_object>(&data);
    if (object == nullptr) {
        return nullptr;
    }
    for (const json_member &member : *object) {
        if (member.key == key) {
            return member.value.get();
        }
    }
    return nullptr;
}

std::optional<json_document> json_document::parse(std::string_view text, std::string_view file, failure &reason)
{
    position_counter counter;
    tree_builder builder(file, counter, reason);
    constexpr bool strict = true;
    constexpr bool ignoreComments = true;
    const counting_iterator begin(text.data(), &counter);
    const counting_iterator end(text.data() + text.size(), &counter);
    if (!nlohmann::json::sax_parse(begin, end, &builder, nlohmann::json::input_format_t::json, strict, ignoreComments)) {
        return std::nullopt;
    }
    json_document document;
    document.m_root = builder.takeRoot();
    return document;
}

std::optional<json_document> json_document::load(const std::string &path, failure &reason)
{
    std::ifstream stream(path, std::ios::binary);
    std::stringstream text;
    if (!stream || !(text << stream.rdbuf())) {
        reason = failure{failure_code::FileUnreadable, path, {path}, "a readable, non-empty file"};
        return std::nullopt;
    }
    return parse(text.str(), path, reason);
}

} // namespace daisypass
