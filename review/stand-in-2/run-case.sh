#!/usr/bin/env bash
# run-case.sh CASE FOLDER: plays a case of the review with three nodes, writes FOLDER/record.txt, and exits with 0 if the rule held, 1 if it was
# broken and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out. Build before: the deploy file's build line and review/build-2.sh.
set -u
name=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.."
nodes=3
directory=$(mktemp -d)
processes=()
finish() {
    {
        for process in "${processes[@]}"; do
            kill -KILL "$process"
        done
        wait
    } 2>/dev/null
    rm -rf "$directory"
}
trap finish EXIT
[ -x target/bin/daisypass-node ] && [ -x target/review-2/stand-in ] || exit 2
target/review-2/stand-in "$name" "$directory" "$folder/record.txt" "${TROUBLE:-1}" &
stand_in=$!
processes+=("$stand_in")
for number in $(seq $nodes); do
    for _ in $(seq 50); do
        [ -e "$directory/node-$number.conf" ] && break
        sleep 0.1
    done
    [ -e "$directory/node-$number.conf" ] || exit 2
    DAISYPASS_SETTINGS="$directory/node-$number.conf" target/bin/daisypass-node >"${NODE_LOGS:-$directory}/node-$number.log" 2>&1 &
    processes+=("$!")
done
for _ in $(seq 1100); do
    kill -0 "$stand_in" 2>/dev/null || break
    sleep 0.1
done
kill -0 "$stand_in" 2>/dev/null && exit 2
wait "$stand_in"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
