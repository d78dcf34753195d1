#!/usr/bin/env bash
# Builds with clang++ and the signedness that char has on the other kind of machine, and runs tests of that build.
# On x86-64, g++ evaluates the arguments of a call from the right; clang++ and, on arm64, g++ do so from the left.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset clang >/dev/null
cmake --build --preset clang --target daisypass-tests daisypass-integration-tests
scripts/run_tests.sh build-clang daisypass-tests
scripts/run_tests.sh build-clang daisypass-integration-tests --source-file='*platform_scenarios*,*request_scenarios*'
