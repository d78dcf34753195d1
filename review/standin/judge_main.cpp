// Plays one case of the review and judges its rule: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
//
//     review-judge CASE TROUBLE RECORD DIRECTORY COMMAND

#include "cases.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <unistd.h>

int main(int argc, char **argv)
{
    if (argc != 6) {
        std::cerr << "usage: review-judge CASE TROUBLE RECORD DIRECTORY COMMAND\n";
        return review::exitNotRun;
    }
    // A case takes 120 seconds at most; its nodes end with this process.
    constexpr unsigned limitS = 115;
    std::signal(SIGALRM, [](int) {
        ::_exit(review::exitNotRun);
    });
    std::signal(SIGPIPE, SIG_IGN);
    ::alarm(limitS);
    const review::deployment_options options{argv[5], argv[4], argv[3]};
    const int result = review::play(argv[1], std::string(argv[2]) != "0", options);
    std::quick_exit(result);
}
