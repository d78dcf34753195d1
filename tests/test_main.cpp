#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

int main(int argc, char **argv)
{
    // The same seed in every run unless the caller asks for another, so that property tests give the same result each time.
    constexpr int keepExisting = 0;
    setenv("RC_PARAMS", "seed=1", keepExisting);
    doctest::Context context(argc, argv);
    return context.run();
}
