#!/usr/bin/env bash
# End-to-end checks of promises 2 to 6 with two daemons, four engines, two instances of a service and the platform.
set -uo pipefail
bin=$(cd "$1" && pwd)
work=$(mktemp -d)
base=$((10000 + ($$ % 95) * 100)) # ports that depend on the process id to keep parallel runs apart, below the ephemeral range
pids=()
failures=0

stop_all() {
    for it in "${pids[@]}"; do kill -9 "$it" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work"
}
trap stop_all EXIT

start() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
    eval "pid_$name=$!"
}

check() { # DESCRIPTION CONDITION...
    if "${@:2}"; then echo "ok: $1"; else
        echo "FAILED: $1"
        failures=$((failures + 1))
    fi
}

equals() { [ "$1" = "$2" ] || { echo "  expected '$2', got '$1'"; false; }; }
contains() { grep -q "$2" <<<"$1" || { echo "  '$2' not found in: ${1:0:300}"; false; }; }
atMost() { [ "$1" -le "$2" ] || { echo "  $1 is above $2"; false; }; }
setFaults() { curl -s --max-time 5 -o /dev/null -X POST "127.0.0.1:$1/faults" -d "$2"; }
waitFor() { for _ in $(seq 100); do curl -s --max-time 2 -o /dev/null "$1" && return; sleep 0.1; done; echo "no answer from $1"; cat "$work"/daemon*.log; exit 1; }
answerText() { grep -o '"content":"[^"]*"' | cut -d'"' -f4 | tr -d '\n'; }
chatBody() { echo "{\"model\":\"m\",\"stream\":$3,\"max_tokens\":$2,\"messages\":[{\"role\":\"user\",\"content\":\"$1\"}]}"; }
chat() { curl -sN --max-time 40 "127.0.0.1:$1/v1/chat/completions" -H 'X-Priority: urgent' -d "$(chatBody "$2" "$3" true)"; }
direct() { # PROMPT TOKENS: answer of the first running engine, bypassing the daemons
    local port
    for port in $((base + 14)) $((base + 13)) $((base + 12)) $((base + 11)); do
        curl -s --max-time 2 -o /dev/null "127.0.0.1:$port/load" && break
    done
    curl -sN --max-time 20 "127.0.0.1:$port/v1/chat/completions" -d "$(chatBody "$1" "$2" true)" | answerText
}
book() { curl -s --max-time 20 -w '\n%{http_code}' -X POST "127.0.0.1:$1/services/desk/visits" -H "Idempotency-Key: $2" -d "$3"; }
runsOf() { for port in $((base + 21)) $((base + 22)); do curl -s --max-time 5 "127.0.0.1:$port/runs"; done | grep -o "\"key\":\"$1\",\"runs\":[0-9]*" | grep -o '[0-9]*$' | awk '{ n += $1 } END { print n + 0 }'; }
runningEngines() { local n=0; for it in $((base + 11)) $((base + 12)) $((base + 13)) $((base + 14)); do curl -s --max-time 2 -o /dev/null "127.0.0.1:$it/load" && n=$((n + 1)); done; echo $n; }

cat >"$work/document.toml" <<'T'
[site]
name = "test"
[placement]
weight_loads_per_second = 2.0
[models.m]
version = "1"
memory_mib = 1000
T
for n in 1 2 3 4; do
    printf '[endpoints.engine-%s]\naddress = "127.0.0.1:%s"\nzone = "test/a"\nmemory_mib = 81920\nconcurrency = 16\nchecks_fencing = true\n' $n $((base + 10 + n)) >>"$work/document.toml"
done
printf '[services.desk]\n' >>"$work/document.toml"
for n in 1 2; do
    printf '[[services.desk.instances]]\nid = "desk-%s"\naddress = "127.0.0.1:%s"\nzone = "test/a"\n' $n $((base + 20 + n)) >>"$work/document.toml"
done
printf '[[services.desk.operations]]\nmethod = "GET"\npath = "/visits"\nrepeatable = true\n' >>"$work/document.toml"

start platform "$bin/turmericplank-platform" --listen 127.0.0.1:$((base + 1))
for n in 1 2 3 4; do
    start "engine$n" "$bin/turmericplank-engine" --listen "127.0.0.1:$((base + 10 + n))" --resident m:1000 --first-token-ms 50 --token-ms 20
done
for n in 1 2; do
    start "desk$n" "$bin/turmericplank-service" --listen "127.0.0.1:$((base + 20 + n))" --instance "desk-$n"
done
startDaemon() { # NUMBER
    start "daemon$1" "$bin/turmericplankd" --document "$work/document.toml" --set "id=entry-$1" --set zone=test/a --set "caller_listen=127.0.0.1:$((base + 30 + $1))" \
        --set "peer_listen=127.0.0.1:$((base + 40 + $1))" --set "operator_listen=127.0.0.1:$((base + 50 + $1))" --set platform=127.0.0.1:$((base + 1))
}
startDaemon 1
startDaemon 2
waitFor 127.0.0.1:$((base + 31))/healthz
waitFor 127.0.0.1:$((base + 32))/healthz
for _ in $(seq 50); do chat $((base + 31)) ready 1 | grep -q DONE && chat $((base + 32)) ready 1 | grep -q DONE && break; sleep 0.2; done

# Promise 3: answers are complete and in order, without repeated tokens
check "a streamed answer equals the answer of the engine" equals "$(chat $((base + 31)) hello 20 | answerText)" "$(direct hello 20)"
unstreamed=$(curl -s --max-time 20 127.0.0.1:$((base + 32))/v1/chat/completions -d "$(chatBody hello 20 false)")
check "an answer that is not streamed equals the answer of the engine" equals "$(answerText <<<"$unstreamed")" "$(direct hello 20)"

# Promise 2: a booking runs at most once
book $((base + 31)) k1 visit >"$work/a" &
first=$!
book $((base + 32)) k1 visit >"$work/b" &
wait $first $!
check "a key sent to two daemons at once runs once" equals "$(runsOf k1)" 1
check "both callers get the same answer" equals "$(cat "$work/a")" "$(cat "$work/b")"
check "a duplicate gets the stored answer" equals "$(book $((base + 32)) k1 visit)" "$(cat "$work/a")"
other=$(book $((base + 32)) k1 another)
check "another body with the same key is rejected" contains "$other" '"code":"key_reused"'
check "... with outcome not_run" contains "$other" '"outcome":"not_run"'
setFaults $((base + 1)) '{"lose_answers": 1}'
check "a booking is answered although the answer of its table write is lost" contains "$(book $((base + 31)) k2 visit)" '"runs":1'
setFaults $((base + 1)) '{}'
check "... and ran once" equals "$(runsOf k2)" 1
setFaults $((base + 1)) '{"outage": true}'
down=$(book $((base + 31)) k3 visit)
check "a booking during an outage of the store is rejected with outcome not_run" contains "$down" '"outcome":"not_run"'
check "... and has a retry time" contains "$down" '"retry_at"'
setFaults $((base + 1)) '{}'
check "... and did not run" equals "$(runsOf k3)" 0
check "the same key runs after the outage" contains "$(book $((base + 32)) k3 visit)" '"runs":1'
setFaults $((base + 21)) '{"lose_answers": 1}'
setFaults $((base + 22)) '{"lose_answers": 1}'
lost=$(book $((base + 31)) k4 visit)
check "a booking whose answer from the service is lost has outcome unknown" contains "$lost" '"outcome":"unknown"'
setFaults $((base + 21)) '{}'
setFaults $((base + 22)) '{}'
check "... and keeps it when it is sent again" contains "$(book $((base + 32)) k4 visit)" '"outcome":"unknown"'
check "... it ran once" equals "$(runsOf k4)" 1
check "a booking without a key is rejected" contains "$(curl -s --max-time 20 -X POST 127.0.0.1:$((base + 31))/services/desk/visits -d x)" '"code":"missing_idempotency_key"'

# Promise 5: silent connections are detected
expected=$(direct silence 60)
chat $((base + 31)) silence 60 >"$work/stream" &
stream=$!
sleep 0.5
for it in $((base + 11)) $((base + 12)) $((base + 13)) $((base + 14)); do setFaults $it '{"silent": true, "silent_open_only": true}'; done
began=$SECONDS
wait $stream
check "a stream whose connection becomes silent is complete" equals "$(answerText <"$work/stream")" "$expected"
check "... within 7 s" atMost $((SECONDS - began)) 7
for it in $((base + 11)) $((base + 12)) $((base + 13)) $((base + 14)); do setFaults $it '{}'; done
setFaults $((base + 1)) '{"silent": true}'
began=$SECONDS
check "a booking with a silent platform is rejected with outcome not_run" contains "$(book $((base + 31)) k5 visit)" '"outcome":"not_run"'
check "... within 7 s" atMost $((SECONDS - began)) 7
setFaults $((base + 1)) '{}'
check "... and did not run" equals "$(runsOf k5)" 0

# Promise 3: an engine is killed during an answer
expected=$(direct dying 100)
chat $((base + 31)) dying 100 >"$work/stream" &
stream=$!
sleep 0.6
serving=$(grep -oE 'sent attempt .*endpoint=engine-[0-9]' "$work/daemon1.log" | tail -1 | grep -oE '[0-9]$')
eval "kill -9 \$pid_engine$serving; wait \$pid_engine$serving 2>/dev/null"
wait $stream
check "a stream whose engine is killed continues on another engine ($(runningEngines) of 4 engines left)" equals "$(answerText <"$work/stream")" "$expected"
start "engine$serving" "$bin/turmericplank-engine" --listen "127.0.0.1:$((base + 10 + serving))" --resident m:1000 --first-token-ms 50 --token-ms 20
sleep 1.5

# Promise 4: a request that crashes engines
for it in $((base + 11)) $((base + 12)) $((base + 13)) $((base + 14)); do setFaults $it '{"crash_on": "poison"}'; done
expected=$(direct innocent 100)
chat $((base + 31)) innocent 100 >"$work/stream" &
stream=$!
sleep 0.3
for _ in 1 2 3; do answer=$(chat $((base + 31)) poison 10); done
check "the crashing request is rejected" contains "$answer" '"code":"request_crashes_endpoints"'
check "... and crashed at most two engines" equals "$([ "$(runningEngines)" -ge 2 ] && echo yes)" yes
wait $stream
check "another request at the same time is answered" equals "$(answerText <"$work/stream")" "$expected"

# Promise 6: a planned stop interrupts no answer
expected=$(direct draining 100)
check "an engine is still running for the last check" [ -n "$expected" ]
chat $((base + 32)) draining 100 >"$work/stream" &
stream=$!
sleep 0.3
kill -TERM "$pid_daemon2"
wait $stream
check "a stopping daemon completes its stream" equals "$(answerText <"$work/stream")" "$expected"
wait "$pid_daemon2"
check "... and exits with code 0" equals $? 0

[ $failures = 0 ] || { tail -40 "$work"/daemon1.log; exit 1; }
