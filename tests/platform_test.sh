#!/usr/bin/env bash
# The users' interface end to end, on stand-ins: two daemons, two engines, two instances of a plain service and the store.
# A caller asks where to connect, streams, books; an engine dies, the store goes away, the configuration changes.
set -uo pipefail
cd "$(dirname "$0")/.."
bin=$(cd "${1:-build/bin}" && pwd)
source tools/processes.sh
base=$((10000 + ($$ % 95) * 100 + 50)) # ports of this run alone
store=127.0.0.1:$base
engine() { echo "127.0.0.1:$((base + 10 + $1))"; }
desk() { echo "127.0.0.1:$((base + 20 + $1))"; }
caller() { echo "127.0.0.1:$((base + 30 + 4 * $1))"; }
ready() { echo "127.0.0.1:$((base + 31 + 4 * $1))"; }
directory() { echo "127.0.0.1:$((base + 32 + 4 * $1))"; }

settings() { # NUMBER
    cat <<T
nodeName = "entry-$1"
ip = "127.0.0.1"
zone = "z$1"
internalPorts = [$((base + 4 + 2 * $1)), $((base + 5 + 2 * $1))]
[listen]
front = "$(caller "$1")"
ready = "$(ready "$1")"
directory = "$(directory "$1")"
[bounds]
graceS = 8
[platform]
address = "$store"
T
}

configuration() { # VERSION EXTRA_ROUTES
    cat <<T
{"version":$1,"routes":[
{"name":"guide","host":"site.example","prefix":"/guide/","kind":"stream","timeoutMs":15000,"goalMs":400,"priority":0,"service":"advisor","maxAttempts":2,"resumable":true,"gapGoalMs":300},
{"name":"fixed","host":"site.example","prefix":"/fixed/","kind":"stream","timeoutMs":15000,"goalMs":400,"priority":0,"service":"advisor","maxAttempts":1,"resumable":false,"gapGoalMs":300},
{"name":"book","host":"site.example","prefix":"/book/","kind":"unsafe","timeoutMs":3000,"goalMs":300,"priority":2,"service":"desk","maxAttempts":1}$2],
"services":[{"name":"advisor","healthPath":"/health","maxConns":100,"engine":{"slots":16,"kvCapacity":1000,"weightsMb":100,"adapterSlots":4,"loadsPerS":2,
"models":[{"name":"m","weightsMb":40,"loadS":0.2,"adapters":2,"adapterMb":1},{"name":"n","weightsMb":40,"loadS":0.2,"adapters":0,"adapterMb":1}]}},
{"name":"desk","healthPath":"/health","maxConns":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
T
}

put_configuration() {
    local value
    value=$(configuration "$@" | base64 -w0)
    curl -s -m 5 -o /dev/null -d "{\"writes\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\"value\":\"$value\"}]}" "http://$store/-/rows-tx"
}

fault() { curl -s -m 5 -o /dev/null -X POST "http://$1/faults" -d "$2"; }
start_engine() { # NUMBER MODEL...
    local n=$1
    shift
    start "engine-$n" turmericplank-siteendpoint --listen "$(engine $n)" --address "$(engine $n)" --store "$store" --id "engine-$n" --zone z1 --events 40 --event-ms 75 \
        $(printf -- '--model %s ' "$@")
}
start_desk() { start "desk-$1" turmericplank-siteendpoint --listen "$(desk $1)" --address "$(desk $1)" --store "$store" --id "desk-$1" --service desk --zone z1; }
start_daemon() {
    settings "$1" >"$work/settings-$1.toml"
    start "daemon-$1" turmericplankd --site platform --settings "$work/settings-$1.toml"
}
call() { # DAEMON PATH ID MODEL [CURL ARGUMENT...]
    curl -sN -m 20 -X POST -H 'Host: site.example' -H "Request-Id: $3" -H "Model: $4" -H 'Token-Usage: 10,40' -H 'Prompt-Prefix: 1:5,2:5' -H 'Deadline-Ms: 15000' \
        "${@:5}" -d question "http://$(caller "$1")$2"
}
status() { call "$@" -o /dev/null -w '%{http_code}'; }
words() { grep -o 'word[0-9]*' | tr '\n' ' '; }
whole=$(for n in $(seq 40); do printf 'word%d ' $n; done)
is_whole() { [ "$(words <"$1")" = "$whole" ]; }
is() { [ "$1" = "$2" ] || { echo "  expected '$2', got '$1'"; return 1; }; }
ready_is() { [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' "http://$(ready "$1")/-/ready")" = "$2" ]; }
entries() { curl -s -m 2 "http://$(directory "$1")/-/resolve?name=site.example&region=r&zone=$2" | jq -r '.addresses | sort | join(" ")'; }
entries_are() { [ "$(entries "$1" "$2")" = "$3" ]; }
runs_at() { curl -s -m 2 "http://$(engine $1)/runs" | jq -e "has(\"$2\")" >/dev/null; } # ENGINE REQUEST
is_running() { runs_at 1 "$1" || runs_at 2 "$1"; }
serves() { [ "$(status "$@")" = 200 ]; }
runs_of() { for n in 1 2; do curl -s -m 2 "http://$(desk $n)/runs" | jq ".\"$1\" // 0"; done | awk '{ n += $1 } END { print n + 0 }'; }

start store turmericplank-sitestore --listen "$store"
until_true 10 answers "http://$store/" || exit 1
put_configuration 1 ""
start_engine 1 m
start_engine 2 m
for n in 1 2; do start_desk $n; done
for n in 1 2; do start_daemon $n; done
for n in 1 2; do step "daemon $n becomes ready" until_true 10 ready_is $n 200; done
step "callers are told both entries" until_true 10 entries_are 1 z9 "$(caller 1) $(caller 2)"

call 1 /guide/a s1 m -D "$work/head" >"$work/stream"
step "a stream is whole and in order" is_whole "$work/stream"
step "... with the endpoint's seal" grep -qi '^server-seal: seal-engine' "$work/head"
step "a model that no engine held is loaded" until_true 15 serves 2 /guide/a s2 n
step "an adapter is loaded beside its model" until_true 10 serves 2 /guide/a s3 m/a2
step "a path without a route is refused" is "$(status 1 /other/ s4 m)" 404
step "a booking is answered" is "$(status 1 /book/a b1 "")" 200
step "... and ran once" is "$(runs_of b1)" 1

call 1 /guide/a s5 m >"$work/stream" &
running=$!
until_true 3 is_running s5
runs_at 1 s5 && dying=1 || dying=2
stop "engine-$dying"
wait $running
step "a stream whose engine dies goes on at the other" is_whole "$work/stream"
call 1 /fixed/a s6 m >"$work/fixed" &
running=$!
until_true 3 is_running s6
stop "engine-$((3 - dying))"
wait $running
step "one that may not be resumed ends broken, not complete" is $? 18
step "without an engine the call is refused as not run, with a time to come back" \
    is "$(call 1 /guide/a s7 m -o /dev/null -D - | grep -ciE '^HTTP/1.1 503|^retry-after')" 2
start_engine 1 m
start_engine 2 m
step "engines that came back serve" until_true 10 serves 1 /guide/a s8 m

fault "$store" '{"outage": true}'
sleep 2
step "calls are served while the store is away" is "$(status 1 /guide/a s9 m)" 200
step "... bookings too" is "$(status 2 /book/a b2 "")" 200
fault "$store" '{}'

put_configuration 2 ',{"name":"new","host":"site.example","prefix":"/new/","kind":"safe","timeoutMs":3000,"goalMs":300,"priority":2,"service":"desk","maxAttempts":2}'
for n in 1 2; do step "a new route is in force at daemon $n" until_true 5 serves $n /new/a "c$n" ""; done
put_configuration 1 ""
sleep 1
step "an older configuration does not come back" is "$(status 1 /new/a c3 "")" 200

curl -s -m 2 -o /dev/null -X POST "http://$(desk 1)/drain"
sleep 2
before=$(curl -s -m 2 "http://$(desk 1)/runs" | jq length)
for n in $(seq 10); do status 1 /book/a "d$n" "" >/dev/null; done
step "a leaving endpoint gets nothing new" is "$(curl -s -m 2 "http://$(desk 1)/runs" | jq length)" "$before"

call 2 /guide/a s10 m >"$work/stream" &
running=$!
until_true 3 is_running s10
stop daemon-2 HUP
stop daemon-2 TERM
step "a stopping daemon is not ready" until_true 2 ready_is 2 503
step "... and callers are not told it" until_true 3 entries_are 1 z9 "$(caller 1)"
wait $running
step "its stream is whole" is_whole "$work/stream"
wait "${pid_of[daemon-2]}"
step "it exits with 0" is $? 0
unset 'pid_of[daemon-2]'
step "the reload is in its log" grep -q 'daemon: reload outcome=unchanged' "$work/daemon-2.log"

settings 3 | sed 's/^ip = .*/ip = 7/' >"$work/wrong.toml"
"$bin/turmericplankd" --site platform --settings "$work/wrong.toml" 2>"$work/wrong.log"
step "wrong settings are refused" is $? 2
step "... with their line" grep -q 'setting ip line 2: expected a text' "$work/wrong.log"
step "the story of a refused call is in the log" grep -q 'requests: refused request=s7 .*has_run=no' "$work/daemon-1.log"

[ $failures = 0 ] || { tail -n 40 "$work"/daemon-*.log; exit 1; }
