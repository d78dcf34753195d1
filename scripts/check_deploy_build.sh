#!/usr/bin/env bash
# Builds daisypass-node as deploy/system.toml says, and runs jobs through nodes of that build.
# The other tests use builds with other flags, so they don't show a fault of the build that callers get.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
[ -n "$build" ] || { echo "deploy/system.toml has no line: build = \"...\"" >&2; exit 1; }
bash -c "$build" >/dev/null
export DAISYPASS_PROGRAMS="$PWD/target/bin"
[ -x "$DAISYPASS_PROGRAMS/daisypass-node" ] || { echo "the build left no $DAISYPASS_PROGRAMS/daisypass-node" >&2; exit 1; }
build/bin/daisypass-integration-tests --test-case="a job passes from any node*,accepted jobs survive the holder*"
