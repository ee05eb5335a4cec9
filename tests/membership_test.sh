#!/usr/bin/env bash
# Kills, pauses, restarts and drains daemons of a cell of eight under load: the others must detect it and send callers to other
# daemons, and no answer may be wrong.
# usage: tests/membership_test.sh [BIN]
set -euo pipefail
bin=$(cd "${1:-build/bin}" && pwd)
work=$(mktemp -d)
base=25100
count=8
declare -A pids=()

stop_all() {
    local status=$?
    for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    [ $status -eq 0 ] || tail -n 5 "$work"/*.log
    rm -rf "$work"
}
trap stop_all EXIT

fail() { echo "FAILED: $*"; exit 1; }
caller() { echo "127.0.0.1:$((base + 10 + $1))"; }
peer() { echo "127.0.0.1:$((base + 30 + $1))"; }
operator() { echo "127.0.0.1:$((base + 50 + $1))"; }

cat > "$work/document.toml" <<TOML
[site]
name = "test"

[models.advice]
version = "1"
memory_mib = 1000
minimum_replicas = 2

[endpoints.engine-1]
address = "127.0.0.1:$((base + 1))"
zone = "r/a"
memory_mib = 8000
checks_fencing = false

[endpoints.engine-2]
address = "127.0.0.1:$((base + 2))"
zone = "r/b"
memory_mib = 8000
checks_fencing = false
TOML

start_daemon() {
    "$bin/turmericplankd" --document "$work/document.toml" --set "id=entry-$1" --set "zone=r/a" --set "caller_listen=$(caller "$1")" \
        --set "peer_listen=$(peer "$1")" --set "operator_listen=$(operator "$1")" --set "platform=127.0.0.1:$base" >> "$work/entry-$1.log" 2>&1 &
    pids[$1]=$!
}

# states_seen DAEMON: prints the state of a daemon as seen by each of the others, one per line.
states_seen() {
    for n in $(seq 1 $count); do
        [ "$n" = "$1" ] || curl -s -m 2 "http://$(operator "$n")/admin/members" | grep -o "\"id\":\"entry-$1\"[^}]*\"state\":\"[a-z]*\"" | grep -o '[a-z]*"$' | tr -d '"'
    done
}

# wait_for_state DAEMON REGEX SECONDS COUNT: waits until exactly COUNT of the others see a daemon in a state that matches.
wait_for_state() {
    local deadline=$((SECONDS + $3))
    until [ "$(states_seen "$1" | grep -cxE "$2")" = "$4" ]; do
        [ $SECONDS -lt $deadline ] || fail "entry-$1 is not seen as $2 within $3 s: $(states_seen "$1" | tr '\n' ' ')"
        sleep 0.1
    done
}

# expect_not_returned DAEMON: fails if any of the others sends callers to a daemon.
expect_not_returned() {
    for n in $(seq 1 $count); do
        [ "$n" = "$1" ] && continue
        for _ in 1 2 3 4 5; do
            curl -s -m 2 "http://$(caller "$n")/v1/entry?model=advice" | grep -q "\"$(caller "$1")\"" && fail "entry-$n sends callers to entry-$1"
        done
    done
    return 0
}

"$bin/turmericplank-platform" --listen "127.0.0.1:$base" > "$work/platform.log" 2>&1 &
pids[platform]=$!
for n in 1 2; do
    "$bin/turmericplank-engine" --listen "127.0.0.1:$((base + n))" --resident advice:1000 > "$work/engine-$n.log" 2>&1 &
    pids[engine-$n]=$!
done
sleep 0.3
for n in $(seq 1 $count); do start_daemon "$n"; done
wait_for_state 1 live 15 7
wait_for_state 8 live 15 7
echo "ok: all eight daemons see each other as live"

entries=()
for n in 1 2 4 6 8; do entries+=("$(caller "$n")"); done
"$bin/turmericplank" load --entry "${entries[@]}" --model advice --rate 20 --seconds 25 --fewest-tokens 5 --most-tokens 20 --seed 7 --json \
    > "$work/load.log" 2>&1 &
pids[load]=$!
sleep 1

kill -KILL "${pids[3]}"
wait_for_state 3 'suspect|gone' 6 7
expect_not_returned 3
echo "ok: callers are not sent to a killed daemon"

kill -STOP "${pids[5]}"
wait_for_state 5 'suspect|gone' 6 6
expect_not_returned 5
kill -CONT "${pids[5]}"
start_daemon 3
wait_for_state 5 live 6 7
wait_for_state 3 live 8 7
echo "ok: a paused and a restarted daemon are live again"

curl -s -m 2 -X POST "http://$(operator 7)/admin/drain" > /dev/null
wait_for_state 7 leaving 3 7
expect_not_returned 7
curl -s -m 2 "http://$(caller 7)/v1/entry?model=advice" | grep -q use_until || fail "a draining daemon does not answer a caller that still has its address"
echo "ok: callers are no longer sent to a draining daemon, and it still answers"

wait "${pids[load]}" || fail "the load command reports wrong outcomes: $(cat "$work/load.log")"
unset 'pids[load]'
echo "ok: no wrong outcomes under load: $(tr -d '\n ' < "$work/load.log" | cut -c1-300)"
