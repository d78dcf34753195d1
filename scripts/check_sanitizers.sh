#!/usr/bin/env bash
# Runs unit tests with AddressSanitizer and UndefinedBehaviorSanitizer, and those of daisypass-node's threads with ThreadSanitizer.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset asan >/dev/null
cmake --build --preset asan --target daisypass-tests
# The load and takeover models are left out: they repeat the same code for minutes.
scripts/run_tests.sh build-asan daisypass-tests --source-file-exclude='*load_test*,*takeover_test*,*/membership_test*'
cmake --preset tsan >/dev/null
cmake --build --preset tsan --target daisypass-tests
# Only programs without gRPC, whose library isn't instrumented.
scripts/run_tests.sh build-tsan daisypass-tests --source-file='*/node/*,*/platform/*,*http_test*,*metered_socket*,*metrics_test*,*connection_account*,*standins_test*'
