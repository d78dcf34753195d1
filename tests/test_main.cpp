#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

int main(int argc, char **argv)
{
    // Property tests use the same seed in every run, so that they give the same result, unless RC_PARAMS is already set.
    constexpr int keepExisting = 0;
    setenv("RC_PARAMS", "seed=1", keepExisting);
    doctest::Context context(argc, argv);
    return context.run();
}
