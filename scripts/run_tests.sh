#!/usr/bin/env bash
# Runs all tests. Tests listed in KNOWN-RED.txt are printed and not run.
# An entry of KNOWN-RED.txt starts with a line "test: <doctest test case name>".
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t red < <(sed -n 's/^test: //p' KNOWN-RED.txt)
exclude=""
for name in "${red[@]}"; do
    echo "known red, passed over: $name"
    exclude+="${exclude:+,}${name//,/\\,}"
done
status=0
for program in build/bin/daisypass-tests build/bin/daisypass-integration-tests; do
    [ -x "$program" ] || continue
    echo "== $program"
    "$program" ${exclude:+--test-case-exclude="$exclude"} || status=1
done
exit $status
