#!/usr/bin/env bash
# End-to-end test of endpoints that fail when they reject too many calls, with stand-ins: three daemons, two instances of a plain
# service and the metadata store, under more calls than the instances can run.
set -uo pipefail
cd "$(dirname "$0")/.."
bin=$(cd "${1:-build/bin}" && pwd)
source tools/processes.sh
source tests/site.sh

slots=6
work_ms=100
notice_ms=3000
limit() { # STATED: 1 if answers state the limit
    local n
    for n in 1 2; do
        curl -s -m 2 -o /dev/null -X POST "http://$(desk $n)/limit?tolerance=3&slots=$slots&work=$work_ms&notice=$notice_ms&stated=$1"
    done
}
count() { # FIELD: of both instances together
    for n in 1 2; do curl -s -m 2 "http://$(desk $n)/limit"; done | jq -s "map(.$1) | add"
}
# Eight callers of each daemon for some seconds, each with one call at a time.
load() { # SECONDS NAME DAEMON...
    local n
    for n in "${@:3}"; do
        timeout "$1" curl -sZ --parallel-max 8 -o /dev/null -H 'Host: site.example' -H "Request-Id: $2-$n" -H 'Deadline-Ms: 3000' \
            "http://$(caller "$n")/check/$2/[1-100000]" 2>/dev/null &
        loads+=($!)
    done
}
loads=()
finish_load() { wait "${loads[@]}"; loads=(); }

start store turmericplank-sitestore --listen "$store"
until_true 10 answers "http://$store/" || exit 1
put_configuration 1 ',{"name":"check","host":"site.example","prefix":"/check/","kind":"safe","timeoutMs":3000,"goalMs":300,"priority":2,"service":"desk","maxAttempts":2}'
for n in 1 2; do start_desk $n; done
for n in 1 2 3; do start_daemon $n; done
for n in 1 2 3; do step "daemon $n becomes ready" until_true 10 ready_is $n 200; done
for n in 1 2 3; do step "daemon $n answers calls" until_true 10 answers_200 $n /check/a "first-$n" ""; done
sleep 2

limit 0
load 6 unstated 1 2 3
finish_load
step "calls beyond the room of endpoints make these fail ($(count failures) times)" [ "$(count failures)" -gt 2 ]
sleep 2

limit 1
load 9 stated 1 2 3
sleep 3
before=$(count answered)
sleep 5
served=$(($(count answered) - before))
finish_load
capacity=$((2 * slots * 5 * 1000 / work_ms))
step "if their answers say so, they keep running ($(count failures) failures, $(count rejected) rejections)" [ "$(count failures)" -le 2 ]
step "... and run most of what they can ($served of $capacity calls)" [ $((served * 4)) -ge $((capacity * 3)) ]
step "... which the log says, once" equals "$(grep -c 'endpoints: rejections are limited service=desk per_second=3' "$work/daemon-1.log")" 1

limit 1
load 9 ended 1 2
load 4 ended 3
sleep 3.5
stop daemon-3
sleep 4
finish_load
step "they keep running when a daemon ends under load ($(count failures) failures)" [ "$(count failures)" -le 2 ]
for n in 1 2; do step "... and daemon $n answers calls" until_true 10 answers_200 $n /check/b "last-$n" ""; done
for n in 1 2; do curl -s -m 2 -o /dev/null -X POST "http://$(desk $n)/limit?tolerance=3&slots=$slots&work=$work_ms&notice=$notice_ms&stated=0"; done
is_over() { for n in 1 2; do status $n /check/c "over-$n-$RANDOM" "" >/dev/null; grep -q 'endpoints: rejections are no longer limited service=desk' "$work/daemon-$n.log" || return 1; done; }
step "the limit ends when answers no longer state it" until_true 10 is_over

[ $failures = 0 ] || { tail -n 10 "$work"/daemon-*.log; exit 1; }
