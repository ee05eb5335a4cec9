#!/usr/bin/env bash
# The stand-ins at their sockets: faults do what they are asked for, streams resume, memory is accounted for.
set -euo pipefail
bin=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
. tools/processes.sh

engine=http://127.0.0.1:21501
service=http://127.0.0.1:21502
platform=http://127.0.0.1:21503
start engine turmericplank-engine --listen 127.0.0.1:21501 --resident m:1000 --memory-mib 2000 --checks-fencing --token-ms 50 --load-seconds-per-model 0.1 --load-lag-ms 0
start service turmericplank-service --listen 127.0.0.1:21502
start platform turmericplank-platform --listen 127.0.0.1:21503
for it in $engine/load $service/runs $platform/vms; do until_true 10 answers $it; done

fault() { curl -s -m 5 -d "$2" "$1/faults"; }
chat() { curl -sN -m "$3" -H "X-Request-Id: $1" -d "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"$1\"}],\"max_tokens\":$2,\"stream\":true}" "$engine/v1/chat/completions"; }
tokens() { grep -o '"content":"[^"]*"'; }
is() { [ "$1" = "$2" ] || { echo "        expected '$2', got '$1'"; return 1; }; }
status() { curl -s -m 5 -o /dev/null -w '%{http_code}' "$@" || true; }
order() { curl -s -m 5 -o /dev/null -w '%{http_code}' -d "$1" "$engine/orders"; }
inventory() { curl -s -m 5 "$engine/inventory" | jq -c "$1"; }

lost_answer_has_effect() {
    fault $platform '{"lose_answers":1}'
    is "$(status -d '{"writes":[{"key":"a","expect":0,"value":"1"}]}' $platform/table/transact)" 000 || return 1
    is "$(curl -s "$platform/table/rows?prefix=a" | jq -c '.rows[0].value')" '"1"'
}

outage_has_none() {
    fault $platform '{"outage":true}'
    is "$(status -d '{"writes":[{"key":"b","expect":0,"value":"1"}]}' $platform/table/transact)" 503 || return 1
    fault $platform '{}'
    is "$(curl -s "$platform/table/rows?prefix=b" | jq -c .rows)" '[]'
}

delay_delays() {
    fault $service '{"delay_ms":1500}'
    is "$(curl -s -m 1 -o /dev/null -w '%{http_code}' -d x $service/visits || true)" 000 || return 1
    is "$(curl -s -m 10 -o /dev/null -w '%{http_code}' -d x $service/visits)" 200 || return 1
    fault $service '{}'
}

silent_stream_resumes() {
    chat silent 30 4 >"$work/silent" &
    local stream=$!
    until_true 4 grep -q content "$work/silent" || return 1
    fault $engine '{"silent":true,"silent_open_only":true}'
    ! wait $stream || return 1
    is "$(tail -c 20 "$work/silent" | grep -c DONE)" 0 || return 1
    local got
    got=$(tokens <"$work/silent" | wc -l)
    curl -sN -m 5 "$engine/v1/streams/silent?from=$got" >"$work/rest" || return 1
    fault $engine '{}'
    chat again 1 5 >/dev/null
    is "$(cat "$work/silent" "$work/rest" | tokens | md5sum)" "$(chat silent 30 5 | tokens | md5sum)"
}

closing_cancels() {
    chat closing 200 0.5 >/dev/null || true
    until_true 3 is_idle && is "$(status "$engine/v1/streams/closing?from=0")" 404
}
is_idle() { [ "$(inventory .running)" = 0 ]; }

orders_keep_memory() {
    is "$(order '{"order_id":"1","term":2,"kind":"load","model":"n","version":"1","memory_mib":1500}')" 507 || return 1
    is "$(inventory .overcommit_attempts)" 1 || return 1
    is "$(order '{"order_id":"2","term":2,"kind":"load","model":"n","version":"1","memory_mib":900}')" 202 || return 1
    is "$(order '{"order_id":"2","term":2,"kind":"load","model":"n","version":"1","memory_mib":900}')" 202 || return 1
    is "$(inventory .used_mib)" 1900 || return 1
    is "$(order '{"order_id":"3","term":1,"kind":"unload","model":"n","version":"1"}')" 409 || return 1
    until_true 3 is_loaded
}
is_loaded() { [ "$(inventory '[.resident[].model]')" = '["m","n"]' ]; }

unload_waits_for_streams() {
    chat unloading 20 5 >"$work/unloading" &
    local stream=$!
    until_true 5 grep -q content "$work/unloading" || return 1
    is "$(order '{"order_id":"4","term":2,"kind":"unload","model":"m","version":"1"}')" 202 || return 1
    is "$(inventory .used_mib)" 1900 || return 1
    wait $stream
    is "$(tokens <"$work/unloading" | wc -l)" 20 || return 1
    is "$(inventory .used_mib)" 900
}

crashes() {
    fault $engine '{"crash_on":"poison"}'
    curl -s -m 5 -d '{"model":"n","messages":[{"role":"user","content":"poison"}]}' $engine/v1/chat/completions || true
    ! answers $engine/load
}

step "a lost answer has its effect" lost_answer_has_effect
step "an outage has none" outage_has_none
step "a delay delays" delay_delays
step "a stream on a silent connection resumes on a new one" silent_stream_resumes
step "closing cancels" closing_cancels
step "orders keep to the memory and the term" orders_keep_memory
step "an unload waits for its streams" unload_waits_for_streams
step "the crashing request ends the engine" crashes
[ "$failures" = 0 ]
