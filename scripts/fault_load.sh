#!/usr/bin/env bash
# Sends load while it injects faults: kills, freezes and restarts entries, cuts, freezes and truncates connections to the store, between
# entries and to targets, and loses responses of the store. Checks every outcome against the targets' records; exit status 1 if one disagrees.
# Usage: scripts/fault_load.sh [seconds] [requests per second and pool] [seed]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-120}
rate=${2:-200}
RANDOM=${3:-1}
. scripts/deployment.sh

# Targets 1 to 5 (booking) and 31 to 33 (grinder-jobs) are reached through proxies at their configured ports.
step "platform, targets and proxies"
start platform daisypass-fake-platform --listen 127.0.0.1:0
start booking-targets daisypass-fake-target --listen 127.0.0.1:22001 --count 5
start grinder-targets daisypass-fake-target --listen 127.0.0.1:22031 --count 3
start targets-a daisypass-fake-target --listen 127.0.0.1:21006 --count 25
start targets-b daisypass-fake-target --listen 127.0.0.1:21034 --count 17
wait_for "the platform" has_line platform listening
for name in booking-targets:4 grinder-targets:2 targets-a:24 targets-b:16; do
    wait_for "${name%:*}" grep -q "\"index\":${name#*:}," "$work/${name%:*}.log"
done
platform=127.0.0.1:$(field platform listening port)
put_vm_list "$platform"
pairs=()
for i in 1 2 3; do pairs+=(--pair "127.0.0.1:2112$i=$platform"); done
for i in 1 2 3; do pairs+=(--pair "127.0.0.1:2113$i=127.0.0.1:2111$i"); done
for port in 001 002 003 004 005 031 032 033; do pairs+=(--pair "127.0.0.1:21$port=127.0.0.1:22$port"); done
proxied=14
start proxy daisypass-fault-proxy "${pairs[@]}"
wait_for "the proxies" has_line proxy listening
proxy=127.0.0.1:$(field proxy listening port)

start_entry() { # number
    start "entry-$1" daisypass-entry --settings "$work/entry-$1.json"
    wait_for "entry-$1 to listen" has_line "entry-$1" ready_to_accept
}

step "3 entries and 2 controllers"
for i in 1 2 3; do
    cat > "$work/entry-$i.json" <<EOF
{"entry": "entry-$i", "availability_zone": "hr-zagreb", "callers_listen": "127.0.0.1:2110$i", "peers_listen": "127.0.0.1:2111$i",
 "peers_advertise": "127.0.0.1:2113$i", "platform": "127.0.0.1:2112$i"}
EOF
    start_entry "$i"
done
for i in 1 2 3; do wait_for "entry-$i to be ready" curl -sf "http://127.0.0.1:2110$i/readyz"; done
for i in 1 2; do start_control "$i" "$platform"; done
apply_example "$(field control-1 started admin)"

step "load of $seconds s at $rate requests/s and pool, seed ${3:-1}"
"$bin/daisypass-load" --config examples/brusilica --check --rate "$rate" --seconds "$seconds" --long-share 0.002 --long-ms 1000 --keyed-share 0.1 \
    --deadline-ms 5000 --seed "${3:-1}" --entry=127.0.0.1:21101 --entry=127.0.0.1:21102 --entry=127.0.0.1:21103 > "$work/load.out" 2>&1 &
load=$!
pids+=("$load")

faults() { curl -sf -X POST --data-binary "$2" "http://$proxy/admin/faults/$1" > /dev/null; }
platform_faults() { curl -sf -X POST --data-binary "$1" "http://$platform/admin/faults" > /dev/null; }
declare -A done_faults
kinds=(kill kill freeze cut-store freeze-store lose-answers outage cut-peers freeze-peers cut-target freeze-target truncate-target delay-target)
end=$((SECONDS + seconds - 10))
while [ "$SECONDS" -lt "$end" ] && kill -0 "$load" 2> /dev/null; do
    kind=${kinds[$((RANDOM % ${#kinds[@]}))]}
    i=$((RANDOM % 3 + 1))
    target=$((RANDOM % (proxied - 6) + 6))
    pause=$((RANDOM % 4 + 1))
    done_faults[$kind]=$((${done_faults[$kind]:-0} + 1))
    case $kind in
    kill)
        kill -KILL "${pid_of[entry-$i]}"
        wait "${pid_of[entry-$i]}" 2> /dev/null || true
        sleep "$pause"
        start_entry "$i"
        ;;
    freeze)
        kill -STOP "${pid_of[entry-$i]}"
        sleep $((pause + 2))
        kill -CONT "${pid_of[entry-$i]}"
        ;;
    cut-store) faults $((i - 1)) '{"cut": true}'; sleep "$pause"; faults $((i - 1)) '{}' ;;
    freeze-store) faults $((i - 1)) '{"freeze": true}'; sleep "$pause"; faults $((i - 1)) '{}' ;;
    lose-answers) platform_faults '{"lose_answers": 20}'; sleep "$pause" ;;
    outage) platform_faults '{"outage": true}'; sleep "$pause"; platform_faults '{"outage": false}' ;;
    cut-peers) faults $((i + 2)) '{"cut": true}'; sleep "$pause"; faults $((i + 2)) '{}' ;;
    freeze-peers) faults $((i + 2)) '{"freeze": true}'; sleep "$pause"; faults $((i + 2)) '{}' ;;
    cut-target) faults "$target" '{"cut": true}'; sleep 1; faults "$target" '{}' ;;
    freeze-target) faults "$target" '{"freeze": true, "direction": "to_client"}'; sleep "$pause"; faults "$target" '{}' ;;
    truncate-target) faults "$target" '{"truncate_after": 700, "direction": "to_client"}'; sleep "$pause"; faults "$target" '{}' ;;
    delay-target) faults "$target" '{"delay_ms": 20}'; sleep "$pause"; faults "$target" '{}' ;;
    esac
    sleep 1
done
for kind in "${!done_faults[@]}"; do echo "fault $kind: ${done_faults[$kind]}"; done | sort
status=0
wait "$load" || status=$?
cat "$work/load.out"
if [ "$status" -eq 0 ]; then step "every outcome agrees"; else step "FAILED with status $status"; fi
exit "$status"
