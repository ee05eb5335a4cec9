#!/usr/bin/env bash
# Kills, pauses and restarts daemons under load: no answer and no booking may come out wrong.
set -euo pipefail
bin=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
. tools/processes.sh

host=127.0.0.1
platform=$host:21300
caller() { echo "$host:$((21320 + $1))"; }
peer() { echo "$host:$((21330 + $1))"; }
operator() { echo "$host:$((21340 + $1))"; }

{
    printf '[site]\nname = "restart"\n[models.advisor]\nversion = "1"\nmemory_mib = 1024\n[models.triage]\nversion = "1"\nmemory_mib = 1024\n'
    for n in 1 2 3; do
        printf '[endpoints.engine-%d]\naddress = "%s"\nzone = "local/a"\nmemory_mib = 8192\nchecks_fencing = true\n' $n "$host:$((21310 + n))"
    done
    printf '[services.scheduler]\n'
    for n in 1 2; do printf '[[services.scheduler.instances]]\nid = "scheduler-%d"\naddress = "%s"\nzone = "local/a"\n' $n "$host:$((21302 + n))"; done
    printf '[[services.scheduler.operations]]\nmethod = "GET"\npath = "/visits"\nrepeatable = true\n'
} >"$work/document.toml"

start_daemon() {
    start "daemon-$1" turmericplankd --document "$work/document.toml" --set "id=daemon-$1" --set "zone=local/a" --set "caller_listen=$(caller $1)" \
        --set "peer_listen=$(peer $1)" --set "operator_listen=$(operator $1)" --set "platform=$platform"
}

load() { "$bin/turmericplank" load --entry "$(caller 1)" --entry "$(caller 2)" --entry "$(caller 3)" --model advisor --model triage "$@"; }

start platform turmericplank-platform --listen "$platform"
for n in 1 2 3; do
    start "engine-$n" turmericplank-engine --listen "$host:$((21310 + n))" --resident advisor:1024 --resident triage:1024 --memory-mib 8192
done
for n in 1 2; do start "service-$n" turmericplank-service --listen "$host:$((21302 + n))" --instance "scheduler-$n"; done
list_machines "$platform" "daemon-1=$(peer 1)=local/a" "daemon-2=$(peer 2)=local/a" "daemon-3=$(peer 3)=local/a"
for n in 1 2 3; do start_daemon $n; done
for n in 1 2 3; do until_true 20 "$bin/turmericplank" load --entry "$(caller $n)" --model advisor --count 1 --rate 20; done
curl -s -o /dev/null -X PUT -d warning "http://$(operator 1)/admin/log-level"

disturb() {
    sleep 3
    stop daemon-2
    sleep 3
    stop daemon-3 STOP
    sleep 4
    stop daemon-3 CONT
    start_daemon 2
    sleep 3
    stop daemon-1 TERM
}

whole() { jq -e '.wrong_outcomes == 0 and .bookings.runs_known and .unanswered == 0' "$work/load.json" >/dev/null; }
mostly_answered() { jq -e '.daemons | .outcomes.answered > 0.8 * (.model_calls + .service_calls)' "$work/load.json" >/dev/null; }

restarted_serves() {
    "$bin/turmericplank" load --entry "$(caller 2)" --model advisor --count 5 --rate 20 --json >"$work/after.json" &&
        jq -e '.daemons.outcomes.answered == 5' "$work/after.json" >/dev/null
}

load --service scheduler --service-at "$host:21303" --service-at "$host:21304" --bookings 0.25 --lookups 0.25 --duplicates 0.5 --rate 40 --seconds 17 \
    --seed 3 --json >"$work/load.json" &
running=$!
disturb
step "load ended without a wrong outcome" wait $running
step "every call ended, the runs of every booking are known" whole
step "more than eight in ten calls were answered" mostly_answered
step "restarted daemon serves" restarted_serves
jq -c '{outcomes: .daemons.outcomes, bookings, wrong_outcomes, unanswered}' "$work/load.json"
[ "$failures" = 0 ] || { tail -n 5 "$work"/daemon-*.log; exit 1; }
