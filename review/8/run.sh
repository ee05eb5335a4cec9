#!/usr/bin/env bash
# LOST: streams that clients take up again at machines that are not disturbed, after the process of one machine was killed within a
# second after the first replica of a new version has started. With TROUBLE=0 nothing is killed: the clients close their channels
# and take their streams up at the same times.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
source "$here/../common-2.sh"

daemons=(1 2 3)
streams=16
deadline_ms=15000
first_start=true

start_store
put_configuration '{"version":1,"routes":[
{"name":"guide","host":"site.example","prefix":"/guide/","kind":"stream","timeoutMs":15000,"goalMs":400,"priority":0,"service":"advisor","maxAttempts":2,"resumable":true,"gapGoalMs":300}],
"services":[{"name":"advisor","healthPath":"/health","maxConns":100,"engine":{"slots":64,"kvCapacity":149031,"weightsMb":230000,"adapterSlots":8,"loadsPerS":2,
"models":[{"name":"m","weightsMb":72700,"loadS":3,"adapters":0,"adapterMb":1}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}'
# Four replicas of v1; an event each 180 ms, 40 events a stream.
start_replica() { # NUMBER VERSION [ARGUMENT...]
    start "engine-$1" "$standins/turmericplank-siteendpoint" --listen "$(endpoint "$1")" --address "$(endpoint "$1")" --store "$store" --id "engine-$1" \
        --service advisor --zone zone-a --version "$2" --events 40 --event-ms 180 "${@:3}"
}
for n in 1 2 3 4; do start_replica $n v1 --model m; done
for n in "${daemons[@]}"; do start_daemon "$n"; done
for n in "${daemons[@]}"; do until_true 15 is_ready "$n" || cannot_run "daemon $n does not become ready"; done
sleep 10 # callers begin 10 s after the daemons, as on the sites

# call DAEMON ID FILE DEADLINE_MS [HEADER...]: the events of an answer go to the file. Each request has a part of a prompt of its own.
call() {
    local arguments=() header
    for header in "${@:5}"; do arguments+=(-H "$header"); done
    curl -sN -m $(($4 / 1000 + 1)) -X POST -H 'Host: site.example' -H "Request-Id: $2" -H 'Model: m' -H 'Token-Usage: 826,200' \
        -H "Prompt-Prefix: ${2//[!0-9]/}a1:198,${2//[!0-9]/}b2:628" -H "Deadline-Ms: $4" "${arguments[@]}" -D "$3.head" -o "$3" -d question \
        "http://$(front "$1")/guide/a" 2>/dev/null
}
# Events that have arrived as a whole.
events() { awk '{ event = event $0 "\n" } /^$/ { printf "%s", event; event = "" }' "$1" 2>/dev/null; }
last_event() { events "$1" | sed -n 's/^id: //p' | tail -n 1; }
versions() { events "$@" | grep -o '^data: v[0-9]' | sort -u | cut -c7- | tr '\n' ' '; }
status() { awk 'NR == 1 { print $2 }' "$1.head" 2>/dev/null; }
daemon_of() { echo $((2 + $1 % 2)); } # one that is not killed

# Before the first stream, each daemon has answered one.
answers() {
    local id=warm-$1-$RANDOM
    call "$1" "$id" "$work/$id" 2000
    [ "$(status "$work/$id")" = 200 ]
}
for n in "${daemons[@]}"; do until_true 10 answers "$n" || cannot_run "daemon $n answers no stream"; done

sent_at=$(date +%s%N)
callers=()
for n in $(seq $streams); do
    : >"$work/first-$n"
    call 1 "first-$n" "$work/first-$n" $deadline_ms &
    callers+=($!)
    sleep 0.05
done
have_begun() { for n in $(seq $streams); do [ "$(last_event "$work/first-$n")" -ge 5 ] || return 1; done; }
if ! until_true 10 have_begun; then
    for n in $(seq $streams); do record "first-$n: status $(status "$work/first-$n"), $(events "$work/first-$n" | grep -c '^id: ') events"; done
    cannot_run "not all streams have begun"
fi
for n in $(seq $streams); do
    record "sent: first-$n to daemon 1, Deadline-Ms $deadline_ms; answered: events up to $(last_event "$work/first-$n") of version $(versions "$work/first-$n")"
done
start_replica 5 v2 # a new replica is empty
is_listed() { curl -s -m 1 "http://$store/-/rows-get?table=servers&part=&limit=500" | grep -q '"engine-5"'; }
until_true 3 is_listed || cannot_run "the replica of v2 does not write its entry"
record "the first replica of v2 has written its entry"
if [ "$trouble" != 0 ]; then
    record "the process of machine 1 is killed"
    kill_now daemon-1
else
    record "the clients close their channels"
    kill "${callers[@]}"
fi
wait "${callers[@]}" 2>/dev/null
sleep 0.5
record "the clients take their streams up at machines 2 and 3, which have not been disturbed, and as many new ones are sent"
left_ms=$((deadline_ms - ($(date +%s%N) - sent_at) / 1000000))
callers=()
for n in $(seq $streams); do
    call "$(daemon_of $((n + 1)))" "again-$n" "$work/again-$n" $left_ms "Last-Event-Id: $(last_event "$work/first-$n")" "Resumes: first-$n" &
    callers+=($!)
    call "$(daemon_of $((n + 1)))" "new-$n" "$work/new-$n" $left_ms &
    callers+=($!)
done
if [ "$trouble" != 0 ]; then
    sleep 2
    first_start=false
    start_daemon 1
    record "the process of machine 1 starts again"
fi
wait "${callers[@]}"

went_on=0
began_new=0
joined=0
for n in $(seq $streams); do
    record "again-$n (Resumes first-$n, Last-Event-Id $(last_event "$work/first-$n"), Deadline-Ms $left_ms): status $(status "$work/again-$n"), $(events "$work/again-$n" | grep -c '^id: ') events, versions of both answers: $(versions "$work/first-$n" "$work/again-$n")"
    [ "$(events "$work/again-$n" | grep -c '^id: ')" = 0 ] || went_on=$((went_on + 1))
    [ "$(versions "$work/first-$n" "$work/again-$n" | wc -w)" -le 1 ] || joined=$((joined + 1))
done
for n in $(seq $streams); do
    record "new-$n: status $(status "$work/new-$n"), $(events "$work/new-$n" | grep -c '^id: ') events"
    [ "$(events "$work/new-$n" | grep -c '^id: ')" = 0 ] || began_new=$((began_new + 1))
done
serving=$(for n in 1 2 3 4; do ! kill -0 "${pid_of[engine-$n]}" 2>/dev/null || echo $n; done | wc -l)
record "replicas of v1 that serve: $serving of 4"
record "$went_on of $streams streams that were taken up went on; $began_new of $streams new ones began; $joined streams have events of two versions"
[ "$serving" = 4 ] && [ $began_new -ge 12 ] || cannot_run "too few new streams began"
if [ $((went_on * 2)) -lt $began_new ]; then
    record "LOST is broken"
    exit 1
fi
