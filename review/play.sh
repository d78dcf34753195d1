#!/usr/bin/env bash
# Plays a case as a script: play.sh CASE FOLDER. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
set -u
name=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.." || exit 2
command=$(sed -n '/^\[roles\.node\]/,/^on/s/^run = "\(.*\)"/\1/p' deploy/system.toml)
if [ ! -x "${command%% *}" ] || [ ! -x review/bin/review-judge ]; then
    echo "not built: run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
work=$(mktemp -d)
review/bin/review-judge "$name" "${TROUBLE:-1}" "$folder/record.txt" "$work" "$command" &
judge=$!
# The nodes end with the judge, which ends them itself before it exits.
trap 'kill "$judge" 2>/dev/null; rm -rf "$work"' EXIT
trap 'exit 2' INT TERM
wait "$judge"
result=$?
if [ -n "${KEEP_LOGS:-}" ]; then
    cp -r "$work" "$KEEP_LOGS"
fi
[ "$result" -le 1 ] && exit "$result"
exit 2
