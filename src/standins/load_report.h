#pragma once

// Report of a load run: goodput, latency by class, outcomes by reason, and the result of the outcome checker.
//
//     printLoad(std::cout, samples, length);
//     printCheck(std::cout, checkSamples(samples, executions));

#include "standins/load_run.h"

#include <iosfwd>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace daisypass {

struct check_result
{
    std::size_t executions = 0;
    std::size_t notRunAfterRun = 0;
    std::vector<disagreement> disagreements;
};

void printLoad(std::ostream &out, std::span<const load_sample> samples, duration length);
void printCheck(std::ostream &out, const check_result &result);

/** Collects the records of all sources; a source is the address of a target or a file. Fails with FileUnreadable, BadAnswer or SyntaxError. */
std::optional<std::vector<execution_record>> collectExecutions(std::span<const std::string> sources, failure &reason);

check_result checkSamples(std::span<const load_sample> samples, std::span<const execution_record> executions);

} // namespace daisypass
