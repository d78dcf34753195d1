# Functions for scripts that run a deployment on loopback; sourced, from the root of the tree.
# Every process that was started is ended by its id when the script ends.
# DAISYPASS_BIN names another directory of programs, such as a copy that a build does not replace during a long run.
bin=${DAISYPASS_BIN:-$PWD/build/bin}
token=demo-administration-token
work=$(mktemp -d)
pids=()
declare -A pid_of
failed=0

finish() {
    local status=$?
    trap - EXIT
    for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -TERM "$pid" 2>/dev/null || true; done
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
    pid_of[$name]=$!
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

# Gives the platform the VM list of the example, which is JSON with comment lines.
put_vm_list() { # platform
    grep -v '^ *//' examples/brusilica/vms.json | python3 -c '
import json, sys
vms = json.load(sys.stdin)["vms"]
print(json.dumps([{"id": v["id"], "address": v["address"], "availability_zone": v["availability_zone"], "rack": v["rack"], "state": "live"} for v in vms]))' \
        > "$work/vms.json"
    curl -sf -X PUT --data-binary "@$work/vms.json" "http://$1/admin/vms" > /dev/null
}

start_control() { # number, platform
    cat > "$work/control-$1.json" <<EOF
{"controller": "control-$1", "platform": "$2", "admin": {"listen": "127.0.0.1:0", "token": "$token"}}
EOF
    start "control-$1" daisypass-control --settings "$work/control-$1.json"
    wait_for "control-$1 to listen" has_line "control-$1" started
    wait_for "control-$1 to be ready" curl -sf "http://$(field "control-$1" started admin)/readyz"
}

apply_example() { # administration address
    cp -r examples/brusilica "$work/brusilica"
    "$bin/daisypassctl" apply "$work/brusilica" --control "$1" --token "$token" --author demo
}
