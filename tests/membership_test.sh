#!/usr/bin/env bash
# Kills, pauses and restarts one of eight daemons under load: the others notice, callers are directed past it, and no
# answer is wrong.
# usage: tests/membership_test.sh FOLDER_OF_THE_PROGRAMS
set -euo pipefail
bin=$(cd "${1:-build/bin}" && pwd)
work=$(mktemp -d)
base=25100
count=8
declare -A pids=()

finish() {
    local status=$?
    for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    [ $status -eq 0 ] || tail -n 5 "$work"/*.log
    rm -rf "$work"
}
trap finish EXIT

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

# States of a daemon as the others see it, one word each.
seen() {
    for n in $(seq 1 $count); do
        [ "$n" = "$1" ] || curl -s -m 2 "http://$(operator "$n")/admin/members" | grep -o "\"id\":\"entry-$1\"[^}]*\"state\":\"[a-z]*\"" | grep -o '[a-z]*"$' | tr -d '"'
    done
}

# Waits until enough others see a daemon in one of some states: await DAEMON REGEX SECONDS OTHERS.
await() {
    local deadline=$((SECONDS + $3))
    until [ "$(seen "$1" | grep -cxE "$2")" = "$4" ]; do
        [ $SECONDS -lt $deadline ] || fail "entry-$1 is not seen as $2 within $3 s: $(seen "$1" | tr '\n' ' ')"
        sleep 0.1
    done
}

# Fails if any answer of the live daemons names a daemon: not_named DAEMON.
not_named() {
    for n in $(seq 1 $count); do
        [ "$n" = "$1" ] && continue
        for _ in 1 2 3 4 5; do
            curl -s -m 2 "http://$(caller "$n")/v1/entry?model=advice" | grep -q "\"$(caller "$1")\"" && fail "entry-$n directs callers to entry-$1"
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
await 1 live 15 7
await 8 live 15 7
echo "ok: all eight know each other"

entries=()
for n in 1 2 4 6 8; do entries+=("$(caller "$n")"); done
"$bin/turmericplank" load --entry "${entries[@]}" --model advice --rate 20 --seconds 25 --fewest-tokens 5 --most-tokens 20 --seed 7 --json \
    > "$work/load.log" 2>&1 &
pids[load]=$!
sleep 1

kill -KILL "${pids[3]}"
await 3 'suspect|gone' 6 7
not_named 3
echo "ok: callers are directed past a killed daemon"

kill -STOP "${pids[5]}"
await 5 'suspect|gone' 6 6
not_named 5
kill -CONT "${pids[5]}"
start_daemon 3
await 5 live 6 7
await 3 live 8 7
echo "ok: a paused daemon and a restarted one are back"

curl -s -m 2 -X POST "http://$(operator 7)/admin/drain" > /dev/null
await 7 leaving 3 7
not_named 7
curl -s -m 2 "http://$(caller 7)/v1/entry?model=advice" | grep -q use_until || fail "a draining daemon refuses a caller that may hold its address"
echo "ok: a draining daemon is named no more and still answers"

wait "${pids[load]}" || fail "the load reports wrong answers: $(cat "$work/load.log")"
unset 'pids[load]'
echo "ok: no wrong outcome under load: $(tr -d '\n ' < "$work/load.log" | cut -c1-300)"
