#!/usr/bin/env bash
# UNASKED: bookings hidden in the body of another booking, whose Transfer-Encoding is not "chunked". With TROUBLE=0, the same
# bodies come with a length.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
source "$here/../common-2.sh"

start_store
put_configuration '{"version":1,"routes":[
{"name":"book","host":"site.example","prefix":"/book/","kind":"unsafe","timeoutMs":3000,"goalMs":300,"priority":2,"service":"desk","maxAttempts":1}],
"services":[{"name":"desk","healthPath":"/health","maxConns":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}'
start desk "$standins/turmericplank-siteendpoint" --listen "$(endpoint 1)" --address "$(endpoint 1)" --store "$store" --id desk-1 --service desk --zone zone-a
start_daemon 1
until_true 15 is_ready 1 || cannot_run "the daemon does not become ready"

cr=$'\r\n'
front_port=$(front 1 | cut -d: -f2)

# exchange BYTES: sends them on a connection of its own and prints what comes back within a second.
exchange() {
    exec {socket}<>"/dev/tcp/127.0.0.1/$front_port" || cannot_run "no connection to the daemon"
    printf '%s' "$1" >&"$socket"
    timeout 1 cat <&"$socket"
    exec {socket}>&-
}
has_run() { curl -s -m 2 "http://$(endpoint 1)/runs" | grep -q "\"$1\":"; }

broken=0
n=0
for coding in gzip identity 'chunked, identity'; do
    n=$((n + 1))
    body="POST /book/hidden HTTP/1.1${cr}Host: site.example${cr}Request-Id: hidden-$n${cr}Deadline-Ms: 2000${cr}Content-Length: 2${cr}${cr}hi"
    framing="Transfer-Encoding: $coding"
    [ "$trouble" != 0 ] || framing="Content-Length: ${#body}"
    record "sent: POST /book/a, Request-Id outer-$n, $framing, and a body of ${#body} bytes that looks like a request with Request-Id hidden-$n"
    exchange "POST /book/a HTTP/1.1${cr}Host: site.example${cr}Request-Id: outer-$n${cr}Deadline-Ms: 2000${cr}$framing${cr}${cr}$body" >"$work/answers"
    record "answered: $(grep -cE '^HTTP/1.1 ' "$work/answers") answers: $(grep -aE '^(HTTP/1.1 |Request-Id|Server-Seal)' "$work/answers" | tr -d '\r' | tr '\n' ';')"
    if has_run "hidden-$n"; then
        record "run: desk-1 has run hidden-$n, which no client has sent"
        broken=1
    fi
    ! has_run "outer-$n" || record "run: desk-1 has run outer-$n"
done
if [ "$trouble" = 0 ]; then
    for n in 1 2 3; do has_run "outer-$n" || cannot_run "outer-$n was not run"; done
fi
[ $broken = 0 ] || record "UNASKED is broken"
exit $broken
