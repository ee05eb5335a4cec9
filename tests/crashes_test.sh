#!/usr/bin/env bash
# End-to-end test of requests that crash endpoints, with stand-ins: three daemons, three instances of a plain service, which are
# started again under another id whenever they have ended, and the metadata store.
set -uo pipefail
cd "$(dirname "$0")/.."
bin=$(cd "${1:-build/bin}" && pwd)
source tools/processes.sh
source tests/site.sh

crashes=0
declare -A starts_of=()
start_endpoint() { # NUMBER
    starts_of[$1]=$((${starts_of[$1]:-0} + 1))
    start "desk-$1" turmericplank-siteendpoint --listen "$(desk "$1")" --address "$(desk "$1")" --store "$store" --id "desk-$1-${starts_of[$1]}" --service desk --zone z1
    until_true 5 answers "http://$(desk "$1")/runs"
    set_faults "$(desk "$1")" '{"crash_on": "poison"}'
}
restart_ended() {
    local n
    for n in 1 2 3; do
        kill -0 "${pid_of[desk-$n]}" 2>/dev/null && continue
        crashes=$((crashes + 1))
        wait "${pid_of[desk-$n]}" 2>/dev/null
        start_endpoint $n
    done
}
# Each with an id of its own, as callers repeat a request.
request_number=0
send_poison() { # DAEMON...
    local n
    for n in "$@"; do
        request_number=$((request_number + 1))
        status "$n" /check/a "poison-$request_number" "" -d poison >>"$work/poison" &
        pids+=($!)
        sleep 0.05
        restart_ended
    done
    wait "${pids[@]}"
    pids=()
}
pids=()
# sound calls NAME...: a sound call to each daemon; succeeds if all are answered.
sound() { for n in 1 2 3; do equals "$(status $n /check/a "$1-$n" "" -d "sound-$1-$n")" 200 || return 1; done; }

start store turmericplank-sitestore --listen "$store"
until_true 10 answers "http://$store/" || exit 1
put_configuration 1 ',{"name":"check","host":"site.example","prefix":"/check/","kind":"safe","timeoutMs":3000,"goalMs":300,"priority":2,"service":"desk","maxAttempts":2}'
for n in 1 2 3; do start_endpoint $n; done
for n in 1 2 3; do start_daemon $n; done
for n in 1 2 3; do step "daemon $n becomes ready" until_true 10 ready_is $n 200; done
step "sound calls are answered" until_true 10 sound before
sleep 2

for _ in $(seq 6); do send_poison 1 2 3; done
first=$crashes
step "a request that crashes endpoints ends three or more ($first)" [ "$first" -ge 3 ]
step "... and is refused soon" [ "$first" -le 6 ]
for _ in $(seq 6); do send_poison 3 2 1; done
# The lease holder may try a refused request again after some seconds.
at_most() { [ "$crashes" -le "$(($1))" ] || { echo "  $crashes endpoints ended, at most $(($1)) expected"; return 1; }; }
step "... and from then on, at all daemons, but for a trial" at_most first+1
refusal() { for n in 1 2; do call 1 /check/a "p$n" "" -d poison -o /dev/null -D - | grep -iE '^HTTP/1.1 503|^retry-after'; done; }
step "... without Retry-After" equals "$(refusal | sort -u | grep -c .)" 1
step "... which the log says" grep -q 'requests: refused request=p[12] .*reason=crashes_endpoints content=[0-9a-f]* has_run=no' "$work/daemon-1.log"
restart_ended
step "sound calls are answered again" until_true 10 sound after

stop daemon-2
start_daemon 2
step "a daemon that restarts becomes ready" until_true 10 ready_is 2 200
for _ in $(seq 3); do send_poison 2; done
step "... and refuses the request as well" at_most first+1

for n in 1 2 3; do stop daemon-$n; done
for n in 1 2 3; do start_daemon $n; done
for n in 1 2 3; do step "after all daemons were killed at the same time, daemon $n becomes ready" until_true 10 ready_is $n 200; done
for _ in $(seq 3); do send_poison 1 2 3; done
step "... and the request is still refused" at_most first+2
step "... and sound calls are answered" until_true 10 sound last


# Engines that crash when they begin to answer a prompt with a certain part, whatever else the call holds.
start_crashing_engine() { # NUMBER
    starts_of[engine-$1]=$((${starts_of[engine-$1]:-0} + 1))
    start "engine-$1" turmericplank-siteendpoint --listen "$(engine "$1")" --address "$(engine "$1")" --store "$store" --id "engine-$1-${starts_of[engine-$1]}" \
        --zone z1 --events 40 --event-ms 20 --model m
    until_true 5 answers "http://$(engine "$1")/runs"
    curl -s -m 2 -o /dev/null -X POST "http://$(engine "$1")/crash-part?id=bad"
}
restart_ended_engines() {
    local n
    for n in 1 2 3 4; do
        kill -0 "${pid_of[engine-$n]}" 2>/dev/null && continue
        crashes=$((crashes + 1))
        wait "${pid_of[engine-$n]}" 2>/dev/null
        start_crashing_engine $n
    done
}
send_bad_part() { # DAEMON...
    local n
    for n in "$@"; do
        request_number=$((request_number + 1))
        prompt=1:5,bad:5,$request_number:5 status "$n" "/guide/$request_number" "bad-$request_number" m >>"$work/poison" &
        pids+=($!)
        sleep 0.1
        restart_ended_engines
    done
    wait "${pids[@]}"
    pids=()
}
# Their prompts have the same first part.
sound_streams() { for n in 1 2 3; do prompt=1:5,2:5,$RANDOM:5 call $n "/guide/$1-$n" "$1-$n" m >"$work/sound" && is_complete "$work/sound" || return 1; done; }

crashes=0
for n in 1 2 3 4; do start_crashing_engine $n; done
step "sound streams are complete" until_true 10 sound_streams first
for _ in $(seq 5); do send_bad_part 1 2 3; done
first=$crashes
step "streams with a part that crashes engines end three or more ($first)" [ "$first" -ge 3 ]
step "... and are refused soon" [ "$first" -le 8 ]
for _ in $(seq 5); do send_bad_part 3 2 1; done
step "... and from then on, at all daemons, but for a trial" at_most first+1
step "... while sound streams with the same first part are complete" until_true 10 sound_streams second
for n in 1 2 3; do stop daemon-$n; done
for n in 1 2 3; do start_daemon $n; done
for n in 1 2 3; do step "after all daemons lost power at the same time, daemon $n becomes ready" until_true 10 ready_is $n 200; done
step "... sound streams are complete" until_true 10 sound_streams third
for _ in $(seq 3); do send_bad_part 1 2 3; done
step "... and those with the crashing part are still refused" at_most first+2

[ $failures = 0 ] || { grep -hE "refuses a content|tries a refused" "$work"/daemon-*.log; tail -n 10 "$work"/daemon-*.log; exit 1; }
