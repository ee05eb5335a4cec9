#!/usr/bin/env bash
# End-to-end test of an endpoint that states how many calls a second it takes from all daemons together, with stand-ins: three daemons,
# two instances of a plain service and the metadata store.
set -uo pipefail
cd "$(dirname "$0")/.."
bin=$(cd "${1:-build/bin}" && pwd)
source tools/processes.sh
source tests/site.sh

rate() { curl -s -m 2 "http://$(desk 1)/rate" | jq ".$1"; }
state_rate() { curl -s -m 2 -o /dev/null -X POST "http://$(desk 1)/rate?per_second=$1"; }
# One call to each daemon every 100 ms for some seconds; writes the status codes to a file.
load() { # SECONDS NAME DAEMON...
    local i n
    for i in $(seq $(($1 * 10))); do
        for n in "${@:3}"; do
            curl -s -m 4 -o /dev/null -w '%{http_code}\n' -H 'Host: site.example' -H "Request-Id: $2-$n-$i" -H 'Deadline-Ms: 3000' \
                "http://$(caller "$n")/check/$2/$n/$i" >>"$work/$2.codes" &
            calls+=($!)
        done
        sleep 0.1
    done
    wait "${calls[@]}"
    calls=()
}
calls=()
served() { grep -cx 200 "$work/$1.codes"; }
sent() { wc -l <"$work/$1.codes"; }

start store turmericplank-sitestore --listen "$store"
until_true 10 answers "http://$store/" || exit 1
put_configuration 1 ',{"name":"check","host":"site.example","prefix":"/check/","kind":"safe","timeoutMs":3000,"goalMs":300,"priority":2,"service":"desk","maxAttempts":2}'
for n in 1 2; do start_desk $n; done
for n in 1 2 3; do start_daemon $n; done
for n in 1 2 3; do step "daemon $n becomes ready" until_true 10 ready_is $n 200; done
for n in 1 2 3; do step "daemon $n answers calls" until_true 10 answers_200 $n /check/a "first-$n" ""; done
sleep 2

state_rate 1.5
load 9 stated 1 2 3
step "an endpoint that states a limit gets no more calls than it tolerates ($(rate excess) more; $(rate arrivals) in all)" equals "$(rate excess)" 0
step "... and still gets calls" [ "$(rate arrivals)" -ge 9 ]
step "... and the other one serves the rest ($(served stated) of $(sent stated))" equals "$(served stated)" "$(sent stated)"
step "... which the log says" grep -q 'endpoints: calls are limited endpoint=desk-1 per_second=1.5' "$work/daemon-1.log"

stop daemon-3
start_daemon 3
step "daemon 3 becomes ready again" until_true 10 ready_is 3 200
load 5 again 1 2 3
step "a daemon that starts again keeps to the limit ($(rate excess) more)" equals "$(rate excess)" 0

state_rate ""
is_over() { for n in 1 2 3; do status $n /check/c "over-$n-$RANDOM" "" >/dev/null; grep -q 'endpoints: calls are no longer limited endpoint=desk-1' "$work/daemon-$n.log" || return 1; done; }
step "the limit ends when answers no longer state it" until_true 10 is_over

[ $failures = 0 ] || { tail -n 10 "$work"/daemon-*.log; exit 1; }
