#!/usr/bin/env bash
# End-to-end test of streams on a service whose endpoints run two software versions, with stand-ins: three daemons, two engines of
# v1, two of v2 and the metadata store. A stream whose daemon or engine is killed goes on at the version that began it, or not at
# all. Each event of the engines names its version.
set -uo pipefail
cd "$(dirname "$0")/.."
bin=$(cd "${1:-build/bin}" && pwd)
source tools/processes.sh
source tests/site.sh
# Daemon 1 is close to an engine of v1, daemon 2 to one of v2, so that a choice by distance alone resumes at the wrong version.
zone_of=([1]=z1 [2]=z3 [3]=z2 [4]=z3)
version_of=([1]=v1 [2]=v1 [3]=v2 [4]=v2)
event_ms=120

remove_row() { curl -s -m 5 -o /dev/null -d "{\"remove\":[{\"table\":\"servers\",\"part\":\"\",\"key\":\"$1\"}]}" "http://$store/-/rows-tx"; }
knows() { grep -q "endpoints: appeared endpoint=engine-$2 " "$work/daemon-$1.log"; }
has_lost() { grep -q "endpoints: gone endpoint=engine-$2 " "$work/daemon-$1.log"; }

# whole_events FILE...: the events of the files without an incomplete last one, which callers drop.
whole_events() {
    local file
    for file in "$@"; do awk '{ event = event $0 "\n" } /^$/ { printf "%s", event; event = "" }' "$file"; done
}
last_event() { whole_events "$work/$1" | sed -n 's/^id: //p' | tail -n 1; }
has_events() { [ "$(whole_events "$work/$1" | grep -c '^id: ')" -ge "$2" ]; }
versions() { whole_events "$@" | grep -o '^data: v[0-9]*' | sort -u | cut -c7- | tr '\n' ' '; }

# shed SECONDS VERSION: makes the engines of the other versions ask for a pause; an empty number ends this.
shed() {
    local n
    for n in 1 2 3 4; do [ "${version_of[$n]}" = "$2" ] || curl -s -m 2 -o /dev/null -X POST "http://$(engine $n)/shed?seconds=$1"; done
}
shed_calls() { for n in 1 2 3 4; do [ "${version_of[$n]}" = "$1" ] || curl -s -m 2 "http://$(engine $n)/shed"; done | tr -d '\n'; }

# begin STREAM DAEMON VERSION: starts a stream at this version, since the engines of the other one ask for a pause meanwhile;
# repeats this until the daemon has made no send to them, as it may make only two. Returns after ten events, when the pause is
# over. Sets request to the Request-Id of the stream and call_pid to its caller.
begin() {
    local try
    for try in $(seq 20); do
        request=$1-$try
        ln -sf "$request" "$work/$1"
        shed 1 "$3"
        call "$2" /guide/a "$request" m >"$work/$request" &
        call_pid=$!
        until_true 1 has_events "$1" 1
        if [ "$(versions "$work/$1")" = "$3 " ] && [ "$(shed_calls "$3")" = 00 ]; then
            shed "" "$3"
            until_true 4 has_events "$1" 10
            return
        fi
    done
    shed "" "$3"
    echo "  the stream began at '$(versions "$work/$1")' after $(shed_calls "$3") sends to the other engines"
    return 1
}
engine_of() { for n in 1 2 3 4; do ! runs_at $n "$1" || echo $n; done; }

# resume STREAM DAEMON [CURL ARGUMENT...]: resumes the stream that was begun last, as its caller; sets code to the status.
resume() {
    code=$(call "$2" /guide/a "$1-resumed" m -H "Last-Event-Id: $(last_event "$1")" -H "Resumes: $request" -D "$work/$1-head" -o "$work/$1-rest" -w '%{http_code}' "${@:3}")
    touch "$work/$1-rest"
}
goes_on() { # STREAM VERSION
    equals "$code" 200 && equals "$(whole_events "$work/$1" "$work/$1-rest" | words)" "$all_words" &&
        equals "$(versions "$work/$1" "$work/$1-rest")" "$2 "
}
is_refused() { equals "$code" 503 && equals "$(grep -c '^data' "$work/$1-rest")" 0; }
has_no_advice() { equals "$code" 503 && equals "$(grep -ci '^retry-after' "$work/$1-head")" 0; }
is_cut_off() { # STREAM CURL_EXIT_CODE
    [ "$2" != 0 ] && [ "$(last_event "$1")" -lt 40 ] || { echo "  the call ended with curl's code $2 after event $(last_event "$1")"; return 1; }
}
# resume_all DAEMON STREAM...: resumes streams of which each was begun with its name as Request-Id, all at the same time; succeeds
# if each goes on at the version that began it.
resume_all() {
    local daemon=$1 pids=() result=0
    shift
    for request in "$@"; do
        { resume "$request" "$daemon" && goes_on "$request" "$(versions "$work/$request" | cut -d' ' -f1)"; } &
        pids+=($!)
    done
    for pid in "${pids[@]}"; do wait "$pid" || result=1; done
    return $result
}
have_all_events() { # NUMBER STREAM...
    local stream
    for stream in "${@:2}"; do has_events "$stream" "$1" || return 1; done
}
restart_daemon() {
    start_daemon "$1"
    until_true 10 ready_is "$1" 200 || return 1
    sleep 1 # for the peers to hear it
}

start store turmericplank-sitestore --listen "$store"
until_true 10 answers "http://$store/" || exit 1
put_configuration 1 ""
for n in 1 2; do start_engine $n m; done
for n in 1 2 3; do start_daemon $n; done
for n in 1 2 3; do step "daemon $n becomes ready" until_true 10 ready_is $n 200; done

step "with one version, a stream is answered" until_true 10 answers_200 3 /guide/a first m
request=unknown
printf 'id: %d\ndata: word%d\n\n' $(for n in $(seq 30); do echo $n $n; done) >"$work/alone"
resume alone 3
step "... and a resumption of a stream that no daemon knows goes on" goes_on alone v1
for n in 3 4; do start_engine $n m; done
for n in 1 2 3; do step "daemon $n gets to know v2" until_true 10 eval "knows $n 3 && knows $n 4"; done

step "a stream begins at v1" begin x1 1 v1
stop daemon-1
wait $call_pid
step "... and is cut off when its daemon is killed" is_cut_off x1 $?
resume x1 2
step "... and goes on at v1 when its caller resumes it at another daemon" goes_on x1 v1
step "the daemon starts again" restart_daemon 1

step "a stream begins at v2" begin x2 2 v2
stop daemon-2
wait $call_pid
step "... and is cut off when its daemon is killed" is_cut_off x2 $?
resume x2 1
step "... and goes on at v2 when its caller resumes it at another daemon" goes_on x2 v2
step "the daemon starts again" restart_daemon 2

step "a stream begins at v2" begin x3 2 v2
stop daemon-1
step "... and another daemon is killed and starts again meanwhile" restart_daemon 1
stop daemon-2
wait $call_pid
step "... and the stream is cut off when its own daemon is killed" is_cut_off x3 $?
resume x3 1
step "... and the daemon that was started again knows its version" goes_on x3 v2
step "the other daemon starts again" restart_daemon 2

names=(y1 y2 y3 y4 y5 y6 y7 y8 y9 y10 y11 y12)
for request in "${names[@]}"; do call 3 /guide/a "$request" m >"$work/$request" & done
step "12 streams begin" until_true 4 have_all_events 5 "${names[@]}"
step "... at both versions" equals "$(versions "${names[@]/#/$work/}")" "v1 v2 "
stop daemon-3
step "... and each goes on at its version when the daemon is killed and their callers resume them" resume_all 1 "${names[@]}"
step "the daemon starts again" restart_daemon 3

step "a stream begins at v1" begin x4 2 v1
killed=$(engine_of "$request")
stop "engine-$killed"
wait $call_pid
: >"$work/x4-rest"
code=200
step "... and goes on at the other engine of v1 when its engine is killed" goes_on x4 v1
start_engine "$killed" m

step "a stream begins at v1" begin x5 2 v1
for n in 1 2; do stop engine-$n; done
wait $call_pid
step "... and is cut off when both engines of v1 are killed" is_cut_off x5 $?
step "... without an event of v2" equals "$(versions "$work/x5")" "v1 "
resume x5 3 -m 1
step "... and its resumption is refused at once" is_refused x5
for n in 1 2; do remove_row engine-$n; done
step "... and after the entries of both engines have gone" until_true 10 eval "has_lost 1 1 && has_lost 1 2"
resume x5 1 -m 1
step "... it is refused at once" is_refused x5
step "... without Retry-After" has_no_advice x5
for n in 1 2; do start_engine $n m; done

step "a stream begins at v2" begin x6 2 v2
for n in 1 2 3; do stop daemon-$n; done
wait $call_pid
step "... and is cut off when all daemons are killed" is_cut_off x6 $?
for n in 1 2 3; do start_daemon $n; done
for n in 1 2 3; do step "daemon $n starts again" until_true 10 ready_is $n 200; done
step "... and gets to know the engines of both versions" until_true 10 eval "knows 1 1 && knows 1 2 && knows 1 3 && knows 1 4"
resume x6 1 -m 1
step "... and a resumption is refused, since the stream's version is unknown" is_refused x6
step "... without Retry-After" has_no_advice x6
step "... while a new call is answered" answers_200 1 /guide/a last m
for n in 3 4; do
    stop engine-$n
    remove_row engine-$n
done
step "... and after the entries of v2 have gone" until_true 10 eval "has_lost 1 3 && has_lost 1 4"
resume x6 1 -m 1
step "... it is still refused, since the stream may have begun at v2" is_refused x6
step "... without Retry-After" has_no_advice x6
step "... while a new call is answered" answers_200 1 /guide/a later m

[ $failures = 0 ] || { grep -hE 'resumes a stream|refused' "$work"/daemon-*.log; tail -n 20 "$work"/daemon-*.log; exit 1; }
