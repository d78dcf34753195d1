#!/usr/bin/env bash
# Runs a whole deployment on loopback: fake platform, 50 fake targets, 3 entries and 3 controllers; applies examples/brusilica, sends
# requests to each pool, and runs a short load whose outcomes are checked against the targets' records.
# Exit status: 0 if every step worked and no outcome disagrees. Every process that was started is ended by its id.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/build/bin
first_target_port=21001
targets=50
token=demo-administration-token
load_seconds=20
work=$(mktemp -d)
pids=()
failed=0

finish() {
    local status=$?
    trap - EXIT
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do
        for _ in $(seq 100); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
        kill -KILL "$pid" 2>/dev/null || true
    done
    if [ "$status" -ne 0 ]; then
        echo "== last log lines"
        tail -n 5 "$work"/*.log || true
    fi
    rm -rf "$work"
    exit "$status"
}
trap finish EXIT
trap 'exit 130' INT TERM

step() { echo "== $*"; }

start() { # name program arguments...
    local name=$1
    shift
    "$bin/$@" > "$work/$name.log" 2>&1 &
    pids+=($!)
}

wait_for() { # description command...
    local what=$1
    shift
    for _ in $(seq 300); do
        if "$@" > /dev/null 2>&1; then return 0; fi
        sleep 0.1
    done
    echo "timed out waiting for $what" >&2
    return 1
}

field() { # log file, event, field
    sed -n "s/.*\"event\":\"$2\".*\"$3\":\"\{0,1\}\([^\",}]*\).*/\1/p" "$work/$1.log" | head -n 1
}

has_line() { grep -q "\"event\":\"$2\"" "$work/$1.log"; }

step "fake platform, and $targets fake targets from 127.0.0.1:$first_target_port"
start platform daisypass-fake-platform --listen 127.0.0.1:0
start targets daisypass-fake-target --listen "127.0.0.1:$first_target_port" --count "$targets"
wait_for "the platform" has_line platform listening
wait_for "the last target" grep -q "\"index\":$((targets - 1))" "$work/targets.log"
platform=127.0.0.1:$(field platform listening port)
# The platform's VM list is the example's, which is JSON with comment lines.
grep -v '^ *//' examples/brusilica/vms.json | python3 -c '
import json, sys
vms = json.load(sys.stdin)["vms"]
print(json.dumps([{"id": v["id"], "address": v["address"], "availability_zone": v["availability_zone"], "rack": v["rack"], "state": "live"} for v in vms]))' \
    > "$work/vms.json"
curl -sf -X PUT --data-binary "@$work/vms.json" "http://$platform/admin/vms" > /dev/null

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
    cat > "$work/control-$i.json" <<EOF
{"controller": "control-$i", "platform": "$platform", "admin": {"listen": "127.0.0.1:0", "token": "$token"}}
EOF
    start "control-$i" daisypass-control --settings "$work/control-$i.json"
    wait_for "control-$i to listen" has_line "control-$i" started
    controls+=("$(field "control-$i" started admin)")
    echo "control-$i serves operators at ${controls[-1]}"
done
for control in "${controls[@]}"; do wait_for "$control to be ready" curl -sf "http://$control/readyz"; done

step "apply examples/brusilica"
cp -r examples/brusilica "$work/brusilica"
"$bin/daisypassctl" apply "$work/brusilica" --control "${controls[0]}" --token "$token" --author demo

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
kill -TERM "${pids[2]}"
if wait "${pids[2]}"; then echo "entry-1 exited with status 0"; else echo "entry-1 exited with status $?"; failed=1; fi

[ "$failed" -eq 0 ] && step "every outcome agrees" || step "FAILED"
exit "$failed"
