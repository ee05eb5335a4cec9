#!/usr/bin/env bash
# End-to-end test of answers that have neither a length nor chunks and end with their connection, with stand-ins: two daemons, two
# engines, an instance of a plain service and the metadata store. A stream that ends inside an event has been broken off.
set -uo pipefail
cd "$(dirname "$0")/.."
bin=$(cd "${1:-build/bin}" && pwd)
source tools/processes.sh
source tests/site.sh

break_after() { curl -s -m 2 -o /dev/null -X POST "http://$(engine $1)/break?after=$2"; } # ENGINE EVENTS

start store turmericplank-sitestore --listen "$store"
until_true 10 answers "http://$store/" || exit 1
put_configuration 1 ""
event_ms=20
start_unframed_engine 1 m
start_unframed_desk 1
for n in 1 2; do start_daemon $n; done
for n in 1 2; do step "daemon $n becomes ready" until_true 10 ready_is $n 200; done

call 1 /guide/a s1 m >"$work/stream"
step "a stream that ends with its connection is complete" is_complete "$work/stream"
step "... from the engine that sends such streams" runs_at 1 s1
call 1 /fixed/a s2 m >"$work/stream"
step "so is one that is not resumable" is_complete "$work/stream"
step "an answer that ends with its connection is complete" equals "$(call 1 /book/a b1 "")" "run by desk-1"

break_after 1 7
call 1 /fixed/a s3 m >"$work/stream"
code=$?
step "a stream that ends inside an event is cut off with an error, and not passed on as complete" [ "$code" != 0 ]
step "... after its whole events" equals "$(words <"$work/stream" | wc -w)" 7
start_engine 2 m
until_true 10 grep -q 'endpoints: appeared endpoint=engine-2 ' "$work/daemon-2.log"
sleep 1
# The first engine breaks off its streams; several prompts, so that both engines get some.
goes_on() {
    local n
    for n in 1 2 3 4 5 6; do
        prompt=$RANDOM:5,$RANDOM:5 call $((1 + n % 2)) /guide/a "r$n" m >"$work/stream"
        is_complete "$work/stream" || { echo "  r$n ended after $(words <"$work/stream" | wc -w) events"; return 1; }
    done
}
step "resumable streams that end inside an event go on at the other engine" goes_on
step "... which the log says" grep -qE 'requests: send ended request=r[1-6] .*endpoint=engine-1 end=lost' "$work/daemon-1.log" "$work/daemon-2.log"

break_after 1 head
stop engine-2
step "a stream that ends before its first event is not passed on as complete" equals "$(status 1 /fixed/a h1 m)" 502

put_configuration 2 ',{"name":"new","host":"site.example","prefix":"/new/","kind":"safe","timeoutMs":3000,"goalMs":300,"priority":2,"service":"desk","maxAttempts":2}'
for name in daemon-1 daemon-2 engine-1 desk-1; do stop $name; done
start_unframed_engine 1 m
start_engine 2 m
start_unframed_desk 1
for n in 1 2; do start_daemon $n; done
for n in 1 2; do step "after daemons and endpoints lost power together, daemon $n becomes ready" until_true 10 ready_is $n 200; done
for n in 1 2; do step "... and has the configuration that was accepted right before" until_true 10 answers_200 $n /new/a "n$n" ""; done
for n in 1 2; do step "... and answers calls" until_true 10 answers_200 $n /guide/a "g$n" m; done

[ $failures = 0 ] || { grep -hE 'send ended|refused' "$work"/daemon-*.log; tail -n 20 "$work"/daemon-*.log; exit 1; }
