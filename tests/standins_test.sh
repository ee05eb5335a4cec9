#!/usr/bin/env bash
# Tests the stand-ins over HTTP: injected faults take effect, streams resume, and engines account for their memory.
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

set_faults() { curl -s -m 5 -d "$2" "$1/faults"; }
chat() { curl -sN -m "$3" -H "X-Request-Id: $1" -d "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"$1\"}],\"max_tokens\":$2,\"stream\":true}" "$engine/v1/chat/completions"; }
tokens() { grep -o '"content":"[^"]*"'; }
equals() { [ "$1" = "$2" ] || { echo "        expected '$2', got '$1'"; return 1; }; }
status() { curl -s -m 5 -o /dev/null -w '%{http_code}' "$@" || true; }
order() { curl -s -m 5 -o /dev/null -w '%{http_code}' -d "$1" "$engine/orders"; }
inventory() { curl -s -m 5 "$engine/inventory" | jq -c "$1"; }

call_with_lost_answer_takes_effect() {
    set_faults $platform '{"lose_answers":1}'
    equals "$(status -d '{"writes":[{"key":"a","expect":0,"value":"1"}]}' $platform/table/transact)" 000 || return 1
    equals "$(curl -s "$platform/table/rows?prefix=a" | jq -c '.rows[0].value')" '"1"'
}

call_during_outage_has_no_effect() {
    set_faults $platform '{"outage":true}'
    equals "$(status -d '{"writes":[{"key":"b","expect":0,"value":"1"}]}' $platform/table/transact)" 503 || return 1
    set_faults $platform '{}'
    equals "$(curl -s "$platform/table/rows?prefix=b" | jq -c .rows)" '[]'
}

delay_applies() {
    set_faults $service '{"delay_ms":1500}'
    equals "$(curl -s -m 1 -o /dev/null -w '%{http_code}' -d x $service/visits || true)" 000 || return 1
    equals "$(curl -s -m 10 -o /dev/null -w '%{http_code}' -d x $service/visits)" 200 || return 1
    set_faults $service '{}'
}

silent_stream_resumes() {
    chat silent 30 4 >"$work/silent" &
    local stream=$!
    until_true 4 grep -q content "$work/silent" || return 1
    set_faults $engine '{"silent":true,"silent_open_only":true}'
    ! wait $stream || return 1
    equals "$(tail -c 20 "$work/silent" | grep -c DONE)" 0 || return 1
    local got
    got=$(tokens <"$work/silent" | wc -l)
    curl -sN -m 5 "$engine/v1/streams/silent?from=$got" >"$work/rest" || return 1
    set_faults $engine '{}'
    chat again 1 5 >/dev/null
    equals "$(cat "$work/silent" "$work/rest" | tokens | md5sum)" "$(chat silent 30 5 | tokens | md5sum)"
}

closing_cancels_stream() {
    chat closing 200 0.5 >/dev/null || true
    until_true 3 is_idle && equals "$(status "$engine/v1/streams/closing?from=0")" 404
}
is_idle() { [ "$(inventory .running)" = 0 ]; }

orders_respect_memory_and_term() {
    equals "$(order '{"order_id":"1","term":2,"kind":"load","model":"n","version":"1","memory_mib":1500}')" 507 || return 1
    equals "$(inventory .overcommit_attempts)" 1 || return 1
    equals "$(order '{"order_id":"2","term":2,"kind":"load","model":"n","version":"1","memory_mib":900}')" 202 || return 1
    equals "$(order '{"order_id":"2","term":2,"kind":"load","model":"n","version":"1","memory_mib":900}')" 202 || return 1
    equals "$(inventory .used_mib)" 1900 || return 1
    equals "$(order '{"order_id":"3","term":1,"kind":"unload","model":"n","version":"1"}')" 409 || return 1
    until_true 3 is_loaded
}
is_loaded() { [ "$(inventory '[.resident[].model]')" = '["m","n"]' ]; }

unload_waits_for_streams() {
    chat unloading 20 5 >"$work/unloading" &
    local stream=$!
    until_true 5 grep -q content "$work/unloading" || return 1
    equals "$(order '{"order_id":"4","term":2,"kind":"unload","model":"m","version":"1"}')" 202 || return 1
    equals "$(inventory .used_mib)" 1900 || return 1
    wait $stream
    equals "$(tokens <"$work/unloading" | wc -l)" 20 || return 1
    equals "$(inventory .used_mib)" 900
}

request_crashes_engine() {
    set_faults $engine '{"crash_on":"poison"}'
    curl -s -m 5 -d '{"model":"n","messages":[{"role":"user","content":"poison"}]}' $engine/v1/chat/completions || true
    ! answers $engine/load
}

step "a call takes effect although its answer is lost" call_with_lost_answer_takes_effect
step "a call during an outage has no effect" call_during_outage_has_no_effect
step "answers are delayed" delay_applies
step "a stream on a silent connection resumes on a new one" silent_stream_resumes
step "closing the connection cancels the stream" closing_cancels_stream
step "orders that exceed the memory or have an outdated term are rejected" orders_respect_memory_and_term
step "an unload waits for the streams of the model" unload_waits_for_streams
step "a request with the crash text ends the engine" request_crashes_engine
[ "$failures" = 0 ]
