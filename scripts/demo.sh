#!/usr/bin/env bash
# Runs a whole deployment on loopback: fake platform, 50 fake targets, 3 entries and 3 controllers; applies examples/brusilica, sends
# requests to each pool, and runs a short load whose outcomes are checked against the targets' records.
# Exit status: 0 if every step worked and no outcome disagrees. Every process that was started is ended by its id.
set -euo pipefail
cd "$(dirname "$0")/.."
first_target_port=21001
targets=50
load_seconds=20
. scripts/deployment.sh

step "fake platform, and $targets fake targets from 127.0.0.1:$first_target_port"
start platform daisypass-fake-platform --listen 127.0.0.1:0
start targets daisypass-fake-target --listen "127.0.0.1:$first_target_port" --count "$targets"
wait_for "the platform" has_line platform listening
wait_for "the last target" grep -q "\"index\":$((targets - 1))" "$work/targets.log"
platform=127.0.0.1:$(field platform listening port)
put_vm_list "$platform"

step "3 entries"
zones=(hr-zagreb hr-split hr-osijek)
entries=()
for i in 1 2 3; do
    cat > "$work/entry-$i.json" <<EOF
{"entry": "entry-$i", "availability_zone": "${zones[$((i - 1))]}", "callers_listen": "127.0.0.1:0", "peers_listen": "127.0.0.1:0", "platform": "$platform"}
EOF
    start "entry-$i" daisypass-entry --settings "$work/entry-$i.json"
    wait_for "entry-$i to listen" has_line "entry-$i" ready_to_accept
    entries+=("127.0.0.1:$(field "entry-$i" ready_to_accept callers_port)")
    echo "entry-$i serves callers at ${entries[-1]}"
done
for entry in "${entries[@]}"; do wait_for "$entry to be ready" curl -sf "http://$entry/readyz"; done

step "3 controllers"
controls=()
for i in 1 2 3; do
    start_control "$i" "$platform"
    controls+=("$(field "control-$i" started admin)")
    echo "control-$i serves operators at ${controls[-1]}"
done

step "apply examples/brusilica"
apply_example "${controls[0]}"

step "requests to each pool"
send() { # entry, pool, team, key
    local entry=$1 pool=$2 team=$3 key=$4 body="demo $pool" status
    local headers=(-H "Daisypass-Team: $team" -H "Daisypass-Class: lookup")
    [ -n "$key" ] && headers+=(-H "Idempotency-Key: $key")
    status=$(curl -s -m 20 -o "$work/answer" -D "$work/headers" -w '%{http_code}' "${headers[@]}" --data-binary "$body" "http://$entry/v1/pools/$pool/requests")
    local outcome
    outcome=$(tr -d '\r' < "$work/headers" | sed -n 's/^daisypass-outcome: //Ip')
    echo "$pool through $entry${key:+ with key $key}: status $status, outcome $outcome, answer '$(cat "$work/answer")'"
    if [ "$outcome" != completed ] || [ "$(cat "$work/answer")" != "$body" ]; then
        failed=1
    fi
}
teams=(booking:zagreb-centar profiles:split-luka counter-queue:counter grinder-jobs:osijek-tvrda spare-admin:admin)
number=0
for pair in "${teams[@]}"; do
    pool=${pair%%:*} team=${pair##*:}
    entry=${entries[$((number % 3))]}
    number=$((number + 1))
    send "$entry" "$pool" "$team" ""
    key=demo-$number
    if [ "$pool" = grinder-jobs ]; then
        key=$(curl -s -X POST -H "Daisypass-Team: $team" "http://$entry/v1/pools/$pool/tickets" | sed -n 's/.*"ticket":"\([^"]*\)".*/\1/p')
    fi
    send "$entry" "$pool" "$team" "$key"
    # The same key through another entry: the answer of the first run, and no second run.
    send "${entries[$((number % 3))]}" "$pool" "$team" "$key"
done
twice=$(for i in $(seq 0 $((targets - 1))); do curl -s "http://127.0.0.1:$((first_target_port + i))/admin/executions"; done |
    sed -n 's/.*"key":"\([^"]\{1,\}\)".*/\1/p' | sort | uniq -d)
if [ -n "$twice" ]; then
    echo "keys that ran twice: $twice"
    failed=1
fi

step "load of $load_seconds s with peaks, checked against the targets' records"
"$bin/daisypass-load" --config examples/brusilica --check --rate 100 --seconds "$load_seconds" --long-share 0.01 --keyed-share 0.1 \
    "${entries[@]/#/--entry=}" || failed=1

step "graceful stop of entry-1"
kill -TERM "${pid_of[entry-1]}"
if wait "${pid_of[entry-1]}"; then echo "entry-1 exited with status 0"; else echo "entry-1 exited with status $?"; failed=1; fi

if [ "$failed" -eq 0 ]; then step "every outcome agrees"; else step "FAILED"; fi
exit "$failed"
