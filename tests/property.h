#pragma once

// Checks properties with a fixed seed, so that a test gives the same result in every run.
//
//     CHECK(propertyHolds([](const std::string &text) { RC_ASSERT(decode(encode(text)) == text); }, 100));

#include <rapidcheck.h>

#include <iostream>
#include <utility>

namespace daisypass {

/** Checks the property with `runs` random inputs. Returns false and prints the counterexample if it does not hold. */
template<typename T>
bool propertyHolds(T &&property, int runs, std::uint64_t seed = 1)
{
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    parameters.maxSuccess = runs;
    const rc::detail::TestResult result = rc::detail::checkTestable(std::forward<T>(property), rc::detail::TestMetadata{}, parameters);
    if (result.template is<rc::detail::SuccessResult>()) {
        return true;
    }
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << '\n';
    return false;
}

} // namespace daisypass
