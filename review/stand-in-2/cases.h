#pragma once

// The cases of the review that are shown by scripts.

#include "deployment.h"

namespace review {

/** A case: the services that it needs, and what it does with them. Its deployment must outlive it, as the threads of the stand-ins do. */
struct case_definition
{
    std::vector<service_definition> services;
    verdict (*run)(deployment &world, bool trouble) = nullptr;
};

/** Tasks that last fail now and then, on one executor. */
case_definition failingTasksCase();
/** An executor that is cut off from the store starts again as a smaller kind. */
case_definition smallerKindCase();
/** A wave takes the machines of one service out of use long before their upkeep, and a task that lasts finds no executor. */
case_definition drainedServiceCase();
/** Many jobs come at once to a queue with advice. */
case_definition adviceBurstCase();

} // namespace review
