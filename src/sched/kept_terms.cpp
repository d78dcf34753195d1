#include "sched/kept_terms.h"

#include <nlohmann/json.hpp>

namespace daisypass::sched {
namespace {

using json = nlohmann::json;

constexpr const char *attemptsKey = "attempts";
constexpr const char *adviceKey = "advice_ms";
constexpr const char *priorityKey = "priority";
constexpr const char *stretchKey = "stretch";
constexpr const char *targetKey = "target_ms";

} // namespace

void writeKeptTerms(json &row, const std::optional<queue_terms> &terms, const std::optional<queue_objective> &objective)
{
    if (terms) {
        row[attemptsKey] = terms->maxAttempts;
        if (terms->requiresAdvice) {
            row[adviceKey] = terms->adviceValidMs;
        }
    }
    if (objective) {
        row[priorityKey] = objective->priority;
        row[stretchKey] = objective->stretch;
        row[targetKey] = objective->targetDurationMs;
    }
}

std::optional<queue_terms> readTerms(const json &row)
{
    const auto attempts = row.find(attemptsKey);
    if (attempts == row.end() || !attempts->is_number_integer()) {
        return std::nullopt;
    }
    queue_terms terms;
    terms.maxAttempts = attempts->get<int>();
    const auto adviceMs = row.find(adviceKey);
    terms.requiresAdvice = adviceMs != row.end() && adviceMs->is_number_integer();
    if (terms.requiresAdvice) {
        terms.adviceValidMs = adviceMs->get<std::int64_t>();
    }
    return terms;
}

std::optional<queue_objective> readObjective(const json &row)
{
    const auto priority = row.find(priorityKey);
    const auto stretch = row.find(stretchKey);
    const auto target = row.find(targetKey);
    const bool readable = priority != row.end() && priority->is_number_integer() && stretch != row.end() && stretch->is_number() && target != row.end()
        && target->is_number_integer();
    if (!readable) {
        return std::nullopt;
    }
    return queue_objective{priority->get<int>(), stretch->get<double>(), target->get<std::int64_t>()};
}

} // namespace daisypass::sched
