#!/usr/bin/env bash
# Promises 2, 3, 4, 5 and 6 at the sockets: two daemons, four engines, two instances of a service and the platform.
set -uo pipefail
bin=$(cd "$1" && pwd)
work=$(mktemp -d)
base=$((10000 + ($$ % 95) * 100)) # ports of this run alone, below those that the system hands out
pids=()
failures=0

finish() {
    for it in "${pids[@]}"; do kill -9 "$it" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work"
}
trap finish EXIT

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

is() { [ "$1" = "$2" ] || { echo "  expected '$2', got '$1'"; false; }; }
holds() { grep -q "$2" <<<"$1" || { echo "  '$2' is missing in: ${1:0:300}"; false; }; }
atMost() { [ "$1" -le "$2" ] || { echo "  $1 is above $2"; false; }; }
fault() { curl -s --max-time 5 -o /dev/null -X POST "127.0.0.1:$1/faults" -d "$2"; }
waitFor() { for _ in $(seq 100); do curl -s --max-time 2 -o /dev/null "$1" && return; sleep 0.1; done; echo "no answer from $1"; cat "$work"/daemon*.log; exit 1; }
text() { grep -o '"content":"[^"]*"' | cut -d'"' -f4 | tr -d '\n'; }
chatBody() { echo "{\"model\":\"m\",\"stream\":$3,\"max_tokens\":$2,\"messages\":[{\"role\":\"user\",\"content\":\"$1\"}]}"; }
chat() { curl -sN --max-time 40 "127.0.0.1:$1/v1/chat/completions" -H 'X-Priority: urgent' -d "$(chatBody "$2" "$3" true)"; }
direct() { # what the first engine that is up says
    local port
    for port in $((base + 14)) $((base + 13)) $((base + 12)) $((base + 11)); do
        curl -s --max-time 2 -o /dev/null "127.0.0.1:$port/load" && break
    done
    curl -sN --max-time 20 "127.0.0.1:$port/v1/chat/completions" -d "$(chatBody "$1" "$2" true)" | text
}
book() { curl -s --max-time 20 -w '\n%{http_code}' -X POST "127.0.0.1:$1/services/desk/visits" -H "Idempotency-Key: $2" -d "$3"; }
runsOf() { for port in $((base + 21)) $((base + 22)); do curl -s --max-time 5 "127.0.0.1:$port/runs"; done | grep -o "\"key\":\"$1\",\"runs\":[0-9]*" | grep -o '[0-9]*$' | awk '{ n += $1 } END { print n + 0 }'; }
enginesUp() { local n=0; for it in $((base + 11)) $((base + 12)) $((base + 13)) $((base + 14)); do curl -s --max-time 2 -o /dev/null "127.0.0.1:$it/load" && n=$((n + 1)); done; echo $n; }

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
daemon() { # NUMBER
    start "daemon$1" "$bin/turmericplankd" --document "$work/document.toml" --set "id=entry-$1" --set zone=test/a --set "caller_listen=127.0.0.1:$((base + 30 + $1))" \
        --set "peer_listen=127.0.0.1:$((base + 40 + $1))" --set "operator_listen=127.0.0.1:$((base + 50 + $1))" --set platform=127.0.0.1:$((base + 1))
}
daemon 1
daemon 2
waitFor 127.0.0.1:$((base + 31))/healthz
waitFor 127.0.0.1:$((base + 32))/healthz
for _ in $(seq 50); do chat $((base + 31)) ready 1 | grep -q DONE && chat $((base + 32)) ready 1 | grep -q DONE && break; sleep 0.2; done

# 3: whole, in order, none twice
check "a streamed answer is the engine's" is "$(chat $((base + 31)) hello 20 | text)" "$(direct hello 20)"
whole=$(curl -s --max-time 20 127.0.0.1:$((base + 32))/v1/chat/completions -d "$(chatBody hello 20 false)")
check "a whole answer is the engine's" is "$(text <<<"$whole")" "$(direct hello 20)"

# 2: at most once
book $((base + 31)) k1 visit >"$work/a" &
first=$!
book $((base + 32)) k1 visit >"$work/b" &
wait $first $!
check "a key sent to two daemons at once runs once" is "$(runsOf k1)" 1
check "both callers get the one answer" is "$(cat "$work/a")" "$(cat "$work/b")"
check "a duplicate gets the stored answer" is "$(book $((base + 32)) k1 visit)" "$(cat "$work/a")"
other=$(book $((base + 32)) k1 another)
check "another body under the key is refused" holds "$other" '"code":"key_reused"'
check "... as not run" holds "$other" '"outcome":"not_run"'
fault $((base + 1)) '{"lose_answers": 1}'
check "a booking whose table write lost its answer is answered" holds "$(book $((base + 31)) k2 visit)" '"runs":1'
fault $((base + 1)) '{}'
check "... and ran once" is "$(runsOf k2)" 1
fault $((base + 1)) '{"outage": true}'
down=$(book $((base + 31)) k3 visit)
check "store down: refused at once as not run" holds "$down" '"outcome":"not_run"'
check "... with a time to come back" holds "$down" '"retry_at"'
fault $((base + 1)) '{}'
check "... and nothing ran" is "$(runsOf k3)" 0
check "the same key runs once the store is back" holds "$(book $((base + 32)) k3 visit)" '"runs":1'
fault $((base + 21)) '{"lose_answers": 1}'
fault $((base + 22)) '{"lose_answers": 1}'
lost=$(book $((base + 31)) k4 visit)
check "a lost answer of the service is unknown" holds "$lost" '"outcome":"unknown"'
fault $((base + 21)) '{}'
fault $((base + 22)) '{}'
check "... and asking again does not run it again" holds "$(book $((base + 32)) k4 visit)" '"outcome":"unknown"'
check "... it ran once" is "$(runsOf k4)" 1
check "a booking without a key is refused" holds "$(curl -s --max-time 20 -X POST 127.0.0.1:$((base + 31))/services/desk/visits -d x)" '"code":"missing_idempotency_key"'

# 5: silence is noticed
expected=$(direct silence 60)
chat $((base + 31)) silence 60 >"$work/stream" &
stream=$!
sleep 0.5
for it in $((base + 11)) $((base + 12)) $((base + 13)) $((base + 14)); do fault $it '{"silent": true, "silent_open_only": true}'; done
began=$SECONDS
wait $stream
check "a stream whose connection falls silent is whole" is "$(text <"$work/stream")" "$expected"
check "... within 7 s" atMost $((SECONDS - began)) 7
for it in $((base + 11)) $((base + 12)) $((base + 13)) $((base + 14)); do fault $it '{}'; done
fault $((base + 1)) '{"silent": true}'
began=$SECONDS
check "a booking with a silent platform is refused as not run" holds "$(book $((base + 31)) k5 visit)" '"outcome":"not_run"'
check "... within 7 s" atMost $((SECONDS - began)) 7
fault $((base + 1)) '{}'
check "... and did not run" is "$(runsOf k5)" 0

# 3: an engine dies in mid-answer
expected=$(direct dying 100)
chat $((base + 31)) dying 100 >"$work/stream" &
stream=$!
sleep 0.6
serving=$(grep -oE 'sent attempt .*endpoint=engine-[0-9]' "$work/daemon1.log" | tail -1 | grep -oE '[0-9]$')
eval "kill -9 \$pid_engine$serving; wait \$pid_engine$serving 2>/dev/null"
wait $stream
check "a stream whose engine dies goes on elsewhere ($(enginesUp) of 4 engines left)" is "$(text <"$work/stream")" "$expected"
start "engine$serving" "$bin/turmericplank-engine" --listen "127.0.0.1:$((base + 10 + serving))" --resident m:1000 --first-token-ms 50 --token-ms 20
sleep 1.5

# 4: a request that crashes engines
for it in $((base + 11)) $((base + 12)) $((base + 13)) $((base + 14)); do fault $it '{"crash_on": "poison"}'; done
expected=$(direct innocent 100)
chat $((base + 31)) innocent 100 >"$work/stream" &
stream=$!
sleep 0.3
for _ in 1 2 3; do answer=$(chat $((base + 31)) poison 10); done
check "the crashing request is refused" holds "$answer" '"code":"request_crashes_endpoints"'
check "... and took at most two engines down" is "$([ "$(enginesUp)" -ge 2 ] && echo yes)" yes
wait $stream
check "the innocent request beside it is answered" is "$(text <"$work/stream")" "$expected"

# 6: a planned stop cuts nothing off
expected=$(direct draining 100)
check "an engine is left for the last check" [ -n "$expected" ]
chat $((base + 32)) draining 100 >"$work/stream" &
stream=$!
sleep 0.3
kill -TERM "$pid_daemon2"
wait $stream
check "a stopping daemon ends its stream" is "$(text <"$work/stream")" "$expected"
wait "$pid_daemon2"
check "... and exits with 0" is $? 0

[ $failures = 0 ] || { tail -40 "$work"/daemon1.log; exit 1; }
