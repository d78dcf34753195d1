#include "base/text_difference.h"

#include <algorithm>
#include <cstdint>
#include <span>
#include <vector>

namespace daisypass {
namespace {

// Limits memory: the table of the longest common subsequence has up to the square of this number of cells.
constexpr std::size_t maxComparedLines = 2'000;

using line_list = std::vector<std::string_view>;

line_list splitLines(std::string_view text)
{
    line_list lines;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
    return lines;
}

class difference_writer
{
public:
    difference_writer(std::string_view name, std::size_t limit)
        : m_name(name)
        , m_limit(limit)
    {
    }

    void write(char sign, std::size_t line, std::string_view text)
    {
        if (m_count++ < m_limit) {
            m_text += std::string(m_name) + ':' + std::to_string(line + 1) + ": " + sign + std::string(text) + '\n';
        }
    }

    std::string take()
    {
        if (m_count > m_limit) {
            m_text += std::string(m_name) + ": " + std::to_string(m_count - m_limit) + " more changed lines\n";
        }
        return std::move(m_text);
    }

private:
    std::string_view m_name;
    std::size_t m_limit;
    std::size_t m_count = 0;
    std::string m_text;
};

void writeDifference(std::span<const std::string_view> before, std::span<const std::string_view> after, std::size_t offset, difference_writer &writer)
{
    const std::size_t width = after.size() + 1;
    std::vector<std::uint16_t> lcsLengths((before.size() + 1) * width, 0);
    for (std::size_t i = before.size(); i-- > 0;) {
        for (std::size_t j = after.size(); j-- > 0;) {
            lcsLengths[i * width + j] = before[i] == after[j] ? static_cast<std::uint16_t>(lcsLengths[(i + 1) * width + j + 1] + 1)
                                                              : std::max(lcsLengths[(i + 1) * width + j], lcsLengths[i * width + j + 1]);
        }
    }
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < before.size() || j < after.size()) {
        if (i < before.size() && j < after.size() && before[i] == after[j]) {
            ++i;
            ++j;
        } else if (j == after.size() || (i < before.size() && lcsLengths[(i + 1) * width + j] >= lcsLengths[i * width + j + 1])) {
            writer.write('-', offset + i, before[i]);
            ++i;
        } else {
            writer.write('+', offset + j, after[j]);
            ++j;
        }
    }
}

} // namespace

std::string describeDifference(std::string_view name, std::string_view before, std::string_view after, std::size_t limit)
{
    const line_list beforeLines = splitLines(before);
    const line_list afterLines = splitLines(after);
    std::span<const std::string_view> left(beforeLines);
    std::span<const std::string_view> right(afterLines);
    std::size_t offset = 0;
    while (!left.empty() && !right.empty() && left.front() == right.front()) {
        left = left.subspan(1);
        right = right.subspan(1);
        ++offset;
    }
    while (!left.empty() && !right.empty() && left.back() == right.back()) {
        left = left.first(left.size() - 1);
        right = right.first(right.size() - 1);
    }
    difference_writer writer(name, limit);
    if (std::max(left.size(), right.size()) <= maxComparedLines) {
        writeDifference(left, right, offset, writer);
        return writer.take();
    }
    for (std::size_t index = 0; index < left.size(); ++index) {
        writer.write('-', offset + index, left[index]);
    }
    for (std::size_t index = 0; index < right.size(); ++index) {
        writer.write('+', offset + index, right[index]);
    }
    return writer.take();
}

} // namespace daisypass
