#pragma once

// What a job keeps of its queue's configuration, as members of the JSON rows of its submission and of its state.
//
//     writeKeptTerms(row, job.terms, job.objective);
//     job.terms = readTerms(row);
//     job.objective = readObjective(row);

#include "sched/model.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>

namespace daisypass::sched {

/** Adds the members of what is known. */
void writeKeptTerms(nlohmann::json &row, const std::optional<queue_terms> &terms, const std::optional<queue_objective> &objective);
/** Returns nothing if the row, an object, has no terms. */
std::optional<queue_terms> readTerms(const nlohmann::json &row);
/** Returns nothing if the row, an object, has no objective. */
std::optional<queue_objective> readObjective(const nlohmann::json &row);

} // namespace daisypass::sched
