#!/usr/bin/env bash
# End-to-end test of endpoints whose answers do not end: a daemon with little memory, instances of a plain service and the metadata store.
# While many such answers arrive, the daemon must live, have stayed within its memory, and answer an ordinary call afterwards. Nothing
# here depends on how fast the machine is.
set -uo pipefail
cd "$(dirname "$0")/.."
bin=$(cd "${1:-build/bin}" && pwd)
source tools/processes.sh
source tests/site.sh

memory_mb=48
max_fds=400
calls=100
desks=3
flood_bytes=1000000 # of each answer, less than the limit of one

configuration() { # VERSION
    cat <<T
{"version":$1,"routes":[
{"name":"check","host":"site.example","prefix":"/check/","kind":"safe","timeoutMs":15000,"goalMs":10000,"priority":2,"service":"desk","maxAttempts":2},
{"name":"book","host":"site.example","prefix":"/book/","kind":"unsafe","timeoutMs":60000,"goalMs":50000,"priority":2,"service":"desk","maxAttempts":1}],
"services":[{"name":"desk","healthPath":"/health","maxConns":200}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
T
}
peak_mb() { awk '/VmHWM/ { print int($2 / 1024) }' "/proc/${pid_of[daemon-1]}/status"; }
lives() { kill -0 "${pid_of[daemon-1]}"; }
ordinary_call() { until_true 20 answers_200 1 /check/a "ordinary-$RANDOM" ""; }
flood() { # BYTES
    local n
    for n in $(seq $desks); do curl -s -m 5 -o /dev/null -X POST "http://$(desk "$n")/flood?bytes=$1"; done
}
# Whether endpoints have begun to run so many of the calls, and nothing waits in the receive queues of the daemon's connections to them.
runs() { for n in $(seq $desks); do curl -s -m 5 "http://$(desk "$n")/runs"; done | jq -s 'map(keys | map(select(startswith("flood"))) | length) | add'; }
have_run() { [ "$(runs)" -ge "$1" ]; }
has_read_all() {
    local n ports=
    for n in $(seq $desks); do ports+=$(printf ' :%04X' "$((base + 20 + n))"); done
    awk -v ports="$ports " 'index(ports, " " substr($3, 9) " ") && substr($5, 10) != "00000000" { waiting = 1 } END { exit waiting }' /proc/net/tcp
}

start store turmericplank-sitestore --listen "$store"
until_true 10 answers "http://$store/" || exit 1
put_configuration 1
for n in $(seq $desks); do start_desk "$n"; done
{ settings 1; printf '[limits]\nmemoryMb = %d\nmaxFds = %d\n' $memory_mb $max_fds; } >"$work/settings-1.toml"
start daemon-1 turmericplankd --site platform --settings "$work/settings-1.toml"
step "the daemon becomes ready" until_true 20 ready_is 1 200
step "an ordinary call is answered" ordinary_call

flood $flood_bytes
pids=()
for n in $(seq $calls); do
    curl -s -m 60 -o /dev/null -X POST -H 'Host: site.example' -H "Request-Id: flood$n" -H 'Deadline-Ms: 60000' -d x "http://$(caller 1)/book/x" &
    pids+=($!)
done
step "endpoints run $calls calls" until_true 20 have_run $calls
until_true 10 has_read_all
step "the daemon lives" lives
step "its memory ($(peak_mb) MB at most) stays within $memory_mb MB" [ "$(peak_mb)" -le $memory_mb ]
flood 0
step "an ordinary call is answered meanwhile" ordinary_call
kill "${pids[@]}" 2>/dev/null
wait "${pids[@]}" 2>/dev/null
step "an ordinary call is answered afterwards" ordinary_call
step "its memory ($(peak_mb) MB at most) stayed within $memory_mb MB" [ "$(peak_mb)" -le $memory_mb ]

[ $failures = 0 ] || { tail -n 10 "$work"/daemon-*.log; exit 1; }
