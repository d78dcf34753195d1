// stand-in CASE DIRECTORY RECORD TROUBLE: plays one case of the review against the nodes that run-case.sh starts.

#include "cases.h"

#include <cstdlib>
#include <iostream>

int main(int argc, char **argv)
{
    constexpr int argumentCount = 5;
    const std::map<std::string, review::case_definition> cases{{"failing-tasks", review::failingTasksCase()},
                                                               {"smaller-kind", review::smallerKindCase()},
                                                               {"drained-service", review::drainedServiceCase()},
                                                               {"advice-burst", review::adviceBurstCase()}};
    const auto found = argc == argumentCount ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: stand-in CASE DIRECTORY RECORD TROUBLE\n";
        return static_cast<int>(review::verdict::CouldNotRun);
    }
    const review::case_definition &chosen = found->second;
    review::deployment world({argv[2], argv[3]}, chosen.services);
    const bool trouble = std::string(argv[4]) != "0";
    const review::verdict result = world.start() ? chosen.run(world, trouble) : review::verdict::CouldNotRun;
    std::quick_exit(static_cast<int>(result));
}
