#!/usr/bin/env bash
# Configuration changes with three daemons: submit, edit, accept and conflicts, a daemon restart during an outage of the
# platform, and recovery after it.
# usage: tests/configuration_test.sh BIN
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(realpath "$1")
base=${PORT:-23200}
work=$(mktemp -d)
declare -A pids=()
stop_all() {
    set +e
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work"
}
trap stop_all EXIT

operator() { echo "127.0.0.1:$((base + 30 + $1))"; }
start_daemon() {
    "$bin/turmericplankd" --set "id=entry-$1" --set zone=tx/a --set "caller_listen=127.0.0.1:$((base + 10 + $1))" \
        --set "peer_listen=127.0.0.1:$((base + 20 + $1))" --set "operator_listen=$(operator "$1")" \
        --set "platform=127.0.0.1:$base" > "$work/daemon-$1.log" 2>&1 &
    pids[$1]=$!
}
fail() {
    echo "failed: $*"
    "$bin/turmericplank" status || true
    exit 1
}
expect() { # EXIT_CODE COMMAND...: runs the command line tool and checks its exit code
    local code=0
    "$bin/turmericplank" "${@:2}" > "$work/out" 2>&1 || code=$?
    [ "$code" = "$1" ] || { tail -n 20 "$work/out"; fail "exit code $code, not $1: ${*:2}"; }
}
digest() { "$bin/turmericplank" diff --json | sed -n 's/^  "digest": "\([0-9a-f]*\)".*/\1/p'; }
wait_for_revision() { # DAEMON REVISION: waits at most 30 s until a daemon serves a revision
    for _ in $(seq 150); do
        if "$bin/turmericplank" status 2>/dev/null | grep -q "entry-$1 *$2 *serving"; then return; fi
        sleep 0.2
    done
    fail "entry-$1 does not serve revision $2"
}

export TURMERICPLANK_DAEMONS="$(operator 1),$(operator 2),$(operator 3)" USER=tester
"$bin/turmericplank-platform" --listen "127.0.0.1:$base" > "$work/platform.log" 2>&1 &
pids[platform]=$!
for n in 1 2 3; do start_daemon "$n"; done
for _ in $(seq 100); do
    if [ "$("$bin/turmericplank" status 2>/dev/null | grep -c starting)" = 3 ]; then break; fi
    sleep 0.1
done

expect 0 check examples/tx-central.toml
expect 0 submit examples/tx-central.toml
expect 4 submit examples/tx-central.toml
expect 4 accept not-the-digest
first=$(digest)
expect 0 accept "$first"
for n in 1 2 3; do wait_for_revision "$n" 1; done

"$bin/turmericplank" show placement > "$work/placement.toml"
sed -i 's/^move_price = .*/move_price = 0.9/' "$work/placement.toml"
expect 0 edit placement "$work/placement.toml"
expect 4 edit placement "$work/placement.toml"
expect 4 accept "$first"
printf '[models.huge]\nversion = "1"\nmemory_mib = 9999999\n' > "$work/models.toml"
expect 1 edit models "$work/models.toml"
expect 0 edit models "$work/models.toml" --revision 1
expect 1 accept "$(digest)"
expect 0 edit models examples/tx-central.toml --revision 2
second=$(digest)

curl -sf -X POST "http://127.0.0.1:$base/faults" -d '{"outage": true}' > /dev/null
expect 3 accept "$second"
kill -KILL "${pids[3]}"
wait "${pids[3]}" 2>/dev/null || true
start_daemon 3
wait_for_revision 3 1

curl -sf -X POST "http://127.0.0.1:$base/faults" -d '{}' > /dev/null
expect 0 accept "$second"
for n in 1 2 3; do wait_for_revision "$n" 2; done
expect 0 explain placement
echo "configuration: all steps passed"
