#include "sched/model.h"

#include <charconv>

namespace daisypass::sched {

resources &resources::operator+=(const resources &other)
{
    cpu += other.cpu;
    memoryMb += other.memoryMb;
    gpu += other.gpu;
    return *this;
}

resources &resources::operator-=(const resources &other)
{
    cpu -= other.cpu;
    memoryMb -= other.memoryMb;
    gpu -= other.gpu;
    return *this;
}

bool resources::fitsIn(const resources &capacity) const
{
    const bool cpuFits = cpu <= capacity.cpu || cpu == 0;
    const bool memoryFits = memoryMb <= capacity.memoryMb || memoryMb == 0;
    const bool gpuFits = gpu <= capacity.gpu || gpu == 0;
    return cpuFits && memoryFits && gpuFits;
}

bool resources::isWithin(const resources &left) const
{
    return (left.cpu >= 0 || cpu == 0) && (left.memoryMb >= 0 || memoryMb == 0) && (left.gpu >= 0 || gpu == 0);
}

resources step_spec::countedDemand() const
{
    resources counted = demand;
    if (bestEffortCpu) {
        counted.cpu = 0;
    }
    return counted;
}

std::size_t taskCountOf(std::span<const step_spec> steps)
{
    std::size_t tasks = 0;
    for (const step_spec &step : steps) {
        tasks += static_cast<std::size_t>(step.taskCount);
    }
    return tasks;
}

std::string task_id::text() const
{
    return job + '.' + std::to_string(occurrence) + '.' + std::to_string(step) + '.' + std::to_string(index);
}

namespace {

// Parses ".N" at the front of the text and removes it.
bool takeNumber(std::string_view &text, int &number)
{
    if (text.empty() || text.front() != '.') {
        return false;
    }
    text.remove_prefix(1);
    const std::from_chars_result read = std::from_chars(text.data(), text.data() + text.size(), number);
    if (read.ec != std::errc() || number < 0) {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(read.ptr - text.data()));
    return true;
}

} // namespace

std::optional<task_id> task_id::parse(std::string_view text)
{
    const std::size_t dot = text.find('.');
    if (dot == 0 || dot == std::string_view::npos) {
        return std::nullopt;
    }
    task_id id;
    id.job = std::string(text.substr(0, dot));
    text.remove_prefix(dot);
    const bool read = takeNumber(text, id.occurrence) && takeNumber(text, id.step) && takeNumber(text, id.index);
    if (!read || !text.empty()) {
        return std::nullopt;
    }
    return id;
}

} // namespace daisypass::sched
