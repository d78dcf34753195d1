#!/usr/bin/env bash
# Measures requests/s and latency through one entry, compared with requests sent directly to a target, on loopback: one entry, one
# controller, 50 fake targets that respond at once. Usage: scripts/measure_entry.sh [outstanding...]
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/deployment.sh

start platform daisypass-fake-platform --listen 127.0.0.1:0
start targets daisypass-fake-target --listen 127.0.0.1:21001 --count 50 --run-ms 0
wait_for "the platform" has_line platform listening
wait_for "the last target" grep -q '"index":49' "$work/targets.log"
platform=127.0.0.1:$(field platform listening port)
put_vm_list "$platform"
cat > "$work/entry-1.json" <<JSON
{"entry": "entry-1", "availability_zone": "hr-zagreb", "callers_listen": "127.0.0.1:0", "peers_listen": "127.0.0.1:0", "platform": "$platform"}
JSON
start entry-1 daisypass-entry --settings "$work/entry-1.json"
wait_for "the entry to listen" has_line entry-1 ready_to_accept
entry=127.0.0.1:$(field entry-1 ready_to_accept callers_port)
start_control 1 "$platform"
apply_example "$(field control-1 started admin)"
# The slots of new VMs ramp up over 10 s.
sleep 11
for outstanding in "${@:-1 32}"; do
    for count in $outstanding; do
        "$bin/daisypass-entry-path-bench" --entry "$entry" --target 127.0.0.1:21001 --team zagreb-centar --outstanding "$count" --threads 2 \
            --rounds 5 --seconds 2
    done
done
