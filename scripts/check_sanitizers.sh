#!/usr/bin/env bash
# Runs unit tests with AddressSanitizer and UndefinedBehaviorSanitizer, and those of daisypass-node's threads with ThreadSanitizer.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset asan >/dev/null
cmake --build --preset asan --target daisypass-tests
# The load and takeover models are left out: they repeat the same code for minutes.
scripts/run_tests.sh build-asan daisypass-tests --source-file-exclude='*load_test*,*takeover_test*,*/membership_test*'
cmake --preset tsan >/dev/null
cmake --build --preset tsan --target daisypass-tests daisypass-node
# Only programs without gRPC, whose library isn't instrumented.
scripts/run_tests.sh build-tsan daisypass-tests --source-file='*/node/*,*/platform/*,*http_test*,*metered_socket*,*metrics_test*,*connection_account*,*standins_test*'
# Nodes of that build under the platform scenarios. A node that is killed can't report by its exit code, so reports go to files.
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir "$work/bin" "$work/reports"
cp build-tsan/bin/daisypass-node "$work/bin/"
TSAN_OPTIONS="log_path=$work/reports/node" DAISYPASS_PROGRAMS="$work/bin" \
    scripts/run_tests.sh build daisypass-integration-tests --source-file='*platform_scenarios*'
if [ -n "$(ls "$work/reports")" ]; then
    cat "$work"/reports/*
    echo "ThreadSanitizer reports of daisypass-node, see above" >&2
    exit 1
fi
