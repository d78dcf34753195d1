#!/usr/bin/env bash
# Runs the tests of a build. Tests listed in KNOWN-RED.txt are printed and not run.
# An entry of KNOWN-RED.txt starts with a line "test: <doctest test case name>".
# Usage: scripts/run_tests.sh [BUILD [PROGRAM [DOCTEST-OPTION...]]]; without PROGRAM, both test programs of the build run whole.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
programs=(daisypass-tests daisypass-integration-tests)
[ $# -lt 2 ] || programs=("$2")
mapfile -t red < <(sed -n 's/^test: //p' KNOWN-RED.txt)
exclude=""
for name in "${red[@]}"; do
    echo "known red, passed over: $name"
    exclude+="${exclude:+,}${name//,/\\,}"
done
status=0
for program in "${programs[@]}"; do
    echo "== $build/bin/$program ${*:3}"
    "$build/bin/$program" ${exclude:+--test-case-exclude="$exclude"} "${@:3}" || status=1
done
exit $status
