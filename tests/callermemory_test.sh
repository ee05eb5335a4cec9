#!/usr/bin/env bash
# End-to-end test of callers that send without end, or much and never all of it: one daemon with little memory and few descriptors, an
# instance of a plain service and the metadata store. After each crowd the daemon must live, have stayed within its memory and
# descriptors, and answer an ordinary call. Nothing here depends on how fast the machine is.
set -uo pipefail
cd "$(dirname "$0")/.."
bin=$(cd "${1:-build/bin}" && pwd)
source tools/processes.sh
source tests/site.sh

memory_mb=48
max_fds=160
body_bytes=1048576
request_timeout_ms=60000 # longer than the test, so that only the limits under test end a request
cr=$'\r'

metrics() { echo "127.0.0.1:$((base + 23 + 2 * $1))"; }
peak_mb() { awk '/VmHWM/ { print int($2 / 1024) }' "/proc/${pid_of[daemon-1]}/status"; }
open_fds() { ls "/proc/${pid_of[daemon-1]}/fd" | wc -l; }
lives() { kill -0 "${pid_of[daemon-1]}"; }
ordinary_call() { until_true 20 answers_200 1 /check/a "ordinary-$RANDOM" ""; }

# Whether nothing waits in the receive queues of the connections to an address.
has_read_all() {
    awk -v port="$(printf ':%04X' "${1#*:}")" 'substr($2, 9) == port && substr($5, 10) != "00000000" { waiting = 1 } END { exit waiting }' /proc/net/tcp
}

start_limited_daemon() {
    { settings 1; printf '[limits]\nmemoryMb = %d\nmaxFds = %d\n' $memory_mb $max_fds; } >"$work/settings-1.toml"
    start daemon-1 turmericplankd --site platform --settings "$work/settings-1.toml"
    until_true 20 ready_is 1 200 && ordinary_call
}

fds=()
connect() { # ADDRESS; the descriptor is added to fds
    local fd
    exec {fd}<>"/dev/tcp/${1%:*}/${1#*:}" && fds+=("$fd")
}
disconnect_all() {
    local fd
    for fd in "${fds[@]}"; do exec {fd}>&-; done 2>/dev/null
    fds=()
}
head_of() { printf '%s %s HTTP/1.1\r\nHost: site.example\r\nRequest-Id: c%d\r\nDeadline-Ms: 15000\r\n%s\r\n\r\n' "$1" "$2" $RANDOM "$3"; }

# crowd NAME CONNECTIONS ADDRESS FUNCTION [ARGUMENT...]: opens connections, runs the function with each as its output, and checks the daemon.
# A daemon is started for each crowd, since the peak of its memory is the one since its start.
crowd() {
    local name=$1 count=$2 address=$3 n senders=()
    shift 3
    start_limited_daemon || { step "$name: the daemon starts" false; return; }
    for n in $(seq "$count"); do connect "$address"; done 2>/dev/null
    for n in "${fds[@]}"; do
        ("$@" >&"$n" 2>/dev/null) &
        senders+=($!)
    done
    wait "${senders[@]}"
    until_true 5 has_read_all "$address" # what still lies in the kernel does not show in the daemon's memory
    step "$name: all connections were opened" [ "${#fds[@]}" = "$count" ]
    step "$name: the daemon lives" lives
    step "$name: open descriptors ($(open_fds)) stay within $max_fds" [ "$(open_fds)" -le $max_fds ]
    step "$name: an ordinary call is answered meanwhile" ordinary_call
    step "$name: its memory ($(peak_mb) MB at most) stays within $memory_mb MB" [ "$(peak_mb)" -le $memory_mb ]
    disconnect_all
    step "$name: an ordinary call is answered afterwards" ordinary_call
    stop daemon-1
}

endless() { timeout 20 yes "$1" | head -c 20000000; }
endless_trailers() { head_of POST "$1" 'Transfer-Encoding: chunked' && printf '0\r\n' && endless "X-Pad: 0123456789abcdef0123456789abcdef$cr"; }
endless_extension() { head_of POST "$1" 'Transfer-Encoding: chunked' && printf '4;' && endless 'name=0123456789abcdef;' | tr -d '\n'; }
endless_headers() { printf 'GET / HTTP/1.1\r\nHost: site.example\r\n' && endless "X-Pad: 0123456789abcdef0123456789abcdef$cr"; }
announced_body() { head_of POST "$1" 'Content-Length: 1000000000' && endless 0123456789abcdef; }
unannounced_body() {
    head_of POST "$1" 'Transfer-Encoding: chunked' && for _ in $(seq 40); do printf '80000\r\n' && head -c 524288 /dev/zero && printf '\r\n'; done
}
# Stops one byte short of the limit and stays open.
short_body_large_chunks() {
    head_of POST "$1" 'Transfer-Encoding: chunked' && for _ in $(seq $((body_bytes / 65536 - 1))); do printf '10000\r\n' && head -c 65536 /dev/zero && printf '\r\n'; done
}
short_body_small_chunks() { head_of POST "$1" 'Transfer-Encoding: chunked' && yes "1${cr}
x${cr}" | head -c $((6 * (body_bytes - 65536))); }
short_body_announced() { head_of POST "$1" "Content-Length: $body_bytes" && head -c $((body_bytes - 1)) /dev/zero; }
dripping_headers() { printf 'GET / HTTP/1.1\r\nHost: site.example\r\nX-Pad: ' && for _ in $(seq 20); do printf x && sleep 0.05; done; }
silence() { :; }
partial_pipeline() { head_of GET "$1" 'X-Number: 1' && printf 'GET /check/c HTTP/1.1\r\nHost: site'; }
unread_pipeline() { for n in $(seq 2000); do head_of GET "$1" "X-Number: $n"; done; }

start store turmericplank-sitestore --listen "$store"
until_true 10 answers "http://$store/" || exit 1
configuration() { # VERSION
    cat <<T
{"version":$1,"routes":[{"name":"check","host":"site.example","prefix":"/check/","kind":"safe","timeoutMs":15000,"goalMs":300,"priority":2,"service":"desk","maxAttempts":2}],
"services":[{"name":"desk","healthPath":"/health","maxConns":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":$body_bytes,"headerTimeoutMs":$request_timeout_ms,"idleTimeoutMs":$request_timeout_ms}}
T
}
put_configuration 1
start_desk 1

crowd "trailers without end" 4 "$(caller 1)" endless_trailers /check/b
crowd "a chunk extension without end" 4 "$(caller 1)" endless_extension /check/b
crowd "headers without end" 4 "$(caller 1)" endless_headers
crowd "announced bodies beyond the limit" 8 "$(caller 1)" announced_body /check/b
crowd "unannounced bodies beyond the limit" 8 "$(caller 1)" unannounced_body /check/b
crowd "bodies in large chunks that stop short" 64 "$(caller 1)" short_body_large_chunks /check/b
crowd "bodies in chunks of one byte that stop short" 48 "$(caller 1)" short_body_small_chunks /check/b
crowd "announced bodies that stop short" 64 "$(caller 1)" short_body_announced /check/b
crowd "headers that drip" 64 "$(caller 1)" dripping_headers
crowd "connections that send nothing" 300 "$(caller 1)" silence
crowd "pipelined calls whose answers are not read" 16 "$(caller 1)" unread_pipeline /check/b
crowd "calls followed by a part of the next one" 100 "$(caller 1)" partial_pipeline /check/b
for listener in directory ready metrics; do
    crowd "trailers without end to the $listener address" 4 "$($listener 1)" endless_trailers /
    crowd "bodies that stop short to the $listener address" 64 "$($listener 1)" short_body_announced /
done

start_limited_daemon
head -c $((body_bytes)) /dev/zero >"$work/body"
whole_body_status() {
    curl -s -m 20 -o /dev/null -w '%{http_code}' -X POST -H 'Host: site.example' -H "Request-Id: w$RANDOM" -H 'Deadline-Ms: 15000' "$@" --data-binary "@$work/body" \
        "http://$(caller 1)/check/whole"
}
step "a body as large as the limit is served in calm" equals "$(whole_body_status)" 200
step "... also in chunks" equals "$(whole_body_status -H 'Transfer-Encoding: chunked')" 200
head -c $((body_bytes + 1)) /dev/zero >"$work/body"
step "a body of one byte more gets 413" equals "$(whole_body_status)" 413

[ $failures = 0 ] || { tail -n 10 "$work"/daemon-*.log; exit 1; }
